import type { Either } from "purify-ts/Either";
import { nanoid } from "nanoid";
import { campaignDelayOf } from "@tanagerdeck/decisions/lease/campaignDelay";
import { closedAfterMs, leaseTimes } from "@tanagerdeck/decisions/lease/leaseTimes";
import { checkAccess, indexManifest, type ManifestIndex } from "@tanagerdeck/decisions/manifest/access";
import { scheduleRound } from "@tanagerdeck/decisions/schedule/schedulingRound";
import { createJobApi, startJobApiTask } from "@tanagerdeck/caller/jobApi/jobApiTask";
import { startPeerListener } from "@tanagerdeck/peer/link/peerListener";
import { startPlannerTask } from "@tanagerdeck/peer/planner/plannerTask";
import type { PlannerMessage } from "@tanagerdeck/peer/planner/plannerTypes";
import { createPlanClients } from "@tanagerdeck/peer/session/planClients";
import { createEntryPlanRouter } from "@tanagerdeck/peer/session/planRouters";
import { startJobListener } from "@tanagerdeck/platform/ingress/jobListener";
import { startReadyListener } from "@tanagerdeck/platform/ingress/readyListener";
import { decodeManifest, MANIFEST_KEY } from "@tanagerdeck/platform/manifest/manifestCodec";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createStandardOutputSink } from "@tanagerdeck/runtime/log/lineSink";
import { createLog } from "@tanagerdeck/runtime/log/log";
import { startMetricsListener } from "@tanagerdeck/runtime/metrics/metricsListener";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import type { Reply, Task } from "@tanagerdeck/runtime/task/task";
import type { Change, Item } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { commitWithRetry } from "@tanagerdeck/store/keyvalue/commitWithRetry";
import { startLeadershipTask, type LeadershipEvent } from "@tanagerdeck/store/leadership/leadershipTask";
import { startManifestTask } from "@tanagerdeck/store/manifest/manifestTask";
import { startPresenceTask } from "@tanagerdeck/store/presence/presenceTask";
import {
    decodeContent,
    decodeRegistration,
    type Registration,
} from "@tanagerdeck/store/replica/storedValueCodec";
import { listForPlanner } from "@tanagerdeck/store/replica/plannerListing";
import { startReplicaTask } from "@tanagerdeck/store/replica/replicaTask";
import { entryKey, parseStoreKey, ROOT_PREFIX } from "@tanagerdeck/store/replica/storeKeys";
import { createExposition } from "@tanagerdeck/runtime/metrics/exposition";
import { createEvacuationState } from "./evacuationState.ts";
import { cacheLimits, createIntakeSet } from "./intakeLimits.ts";
import { PLATFORM_PEER_TOKEN } from "./peerToken.ts";
import type { PlatformEntrySettings } from "./platformSettings.ts";
import { createSessionSet, type SessionSet } from "./sessionSet.ts";
import { reloadSettings } from "./reloadSettings.ts";
import { openStoreAccess } from "./storeAccess.ts";

/**
 * Time for which one attempt to record progress is retried while its outcome is unknown; after it the planner logs a
 * warning and starts the same write again.
 */
const RECORD_RETRY_LIMIT_MS = 2_000;
/** Ended jobs are kept this much longer than `keepJobsSeconds`, the promised retention. */
const JOB_RETENTION_MARGIN_MS = 30_000;
/**
 * Time to wait on shutdown until the platform has stopped routing calls here: it does so after two failed readiness
 * checks, which run once a second.
 */
const ROUTING_STOP_WAIT_MS = 2_500;

/** The planner and the agent sessions of one leader term. */
interface PlanningTerm {
    planner: Task<PlannerMessage>;
    sessions: SessionSet;
}

/**
 * Starts an entry on the users' platform: creates its tasks and listeners and connects them.
 * `readSettings` is called on each reload and returns the current settings, or the reason why they are invalid.
 */
export async function startPlatformEntry(
    initialSettings: PlatformEntrySettings,
    readSettings: () => Either<string, PlatformEntrySettings>,
): Promise<RunningProcess> {
    let settings = initialSettings;
    const clock = systemClock;
    const sink = createStandardOutputSink(clock);
    const log = createLog(settings.name, "info", sink);
    const exposition = createExposition(clock, sink.dropped);
    const { metrics } = exposition;
    const intakes = createIntakeSet({ clock, log: log.part("ingress"), metrics: exposition.intake });
    const times = leaseTimes(settings.longestHoldMs);
    const clients = createPlanClients(PLATFORM_PEER_TOKEN);
    const peerAddress = `${settings.ip}:${settings.peerPort}`;
    const ownRegistration: Registration = {
        name: settings.name,
        address: peerAddress,
        availabilityZone: settings.availabilityZone,
        incarnation: nanoid(10),
    };
    const newWriteId = () => nanoid(12);
    const registeredEntries = new Map<string, Registration>();
    let manifestIndex: ManifestIndex | undefined;
    let leaderAddress: string | undefined;
    let planning: PlanningTerm | undefined;
    let isStopping = false;

    const storeAccess = openStoreAccess({
        address: settings.storeAddress,
        // Entries that pass on store calls if this process cannot reach the store.
        relays: () => relayAddresses(settings, registeredEntries, peerAddress),
        clients,
        clock,
        log: log.part("store"),
        metrics,
    });
    const { store } = storeAccess;
    const evacuations =
        settings.evacuationLimitMs === undefined
            ? undefined
            : createEvacuationState({
                  clock,
                  limitMs: settings.evacuationLimitMs,
                  zones: () => settings.zones,
                  changed(view) {
                      metrics.zonesEvacuated(view.revisions);
                      planning?.planner.send({ kind: "evacuations", view });
                  },
              });

    const jobApiTask = startJobApiTask({
        store,
        clock,
        log: log.part("desk"),
        newWriteId,
        announce: announceItem,
        metrics,
        announceUncertainWrite(id) {
            jobApiTask.send({ kind: "doubt", id });
            for (const address of relayAddresses(settings, registeredEntries, peerAddress)) {
                void clients.doubt(address, id);
            }
        },
        isStoreFailing: storeAccess.isFailing,
    });

    function announceItem(item: Item): void {
        replica.send({ kind: "learned", item });
        if (leaderAddress !== undefined && leaderAddress !== peerAddress) {
            // The leader also watches the store; sending the item directly only saves the watch delay.
            void clients.learn(leaderAddress, item);
        }
    }

    function handleStoreChange(change: Change): void {
        jobApiTask.send({ kind: "changed", change });
        planning?.planner.send({ kind: "changed", change });
        const key = parseStoreKey(change.key);
        if (key?.kind === "entry") {
            const registration =
                change.value === undefined ? undefined : decodeRegistration(key.name, change.value);
            if (registration) {
                registeredEntries.set(key.name, registration);
            } else {
                registeredEntries.delete(key.name);
            }
            if (key.name === ownRegistration.name && change.value === undefined) {
                presence.send({ kind: "register" });
            }
        }
        if (key?.kind === "leader") {
            leaderAddress =
                change.value === undefined ? undefined : decodeContent("leader", change.value)?.address;
            leadership.send({ kind: "leader-changed", change });
        }
    }

    function beginTerm(termNumber: number, formerTerm: number | undefined): void {
        const sessions = createSessionSet({
            term: termNumber,
            grantMs: times.grantMs,
            clock,
            log: log.part("session"),
            sync: clients.sync,
            evacuation: evacuations?.notice,
            reported: (agent, report) => planner.send({ kind: "report", agent, report }),
            outdated: newer => log.warn("An agent knows a newer leader.", { term: termNumber, newer }),
        });
        const planner = startPlannerTask({
            term: termNumber,
            formerTerm,
            times,
            clock,
            log: log.part("planner"),
            metrics,
            newWriteId,
            list: () => listForPlanner(store),
            commit: transaction =>
                commitWithRetry(store, transaction, { clock, giveUpAt: clock.now() + RECORD_RETRY_LIMIT_MS }),
            sessions,
            schedule: scheduleRound,
            farFactor: settings.farFactor,
            followsEvacuations: evacuations !== undefined,
            areStartsHeld: evacuations?.areStartsHeld,
            termEnded: () => log.warn("The store shows that the term has ended.", { term: termNumber }),
            keepMs: settings.keepJobsSeconds * 1_000 + JOB_RETENTION_MARGIN_MS,
        });
        if (manifestIndex) {
            planner.send({ kind: "manifest", index: manifestIndex });
        }
        const view = evacuations?.view();
        if (view) {
            planner.send({ kind: "evacuations", view });
        }
        planning = { planner, sessions };
        metrics.leaderTerm(termNumber);
        log.info("Planning begins.", { term: termNumber, closedAfterMs: closedAfterMs(times) });
    }

    function endTerm(): void {
        const endedPlanning = planning;
        planning = undefined;
        metrics.leaderTerm(undefined);
        metrics.tasksInEvacuatedZones(0);
        if (endedPlanning) {
            void endedPlanning.planner.ask((reply: Reply<void>) => ({ kind: "halt", reply }));
            void endedPlanning.planner.stop();
            void endedPlanning.sessions.close();
        }
    }

    function handleLeadershipEvent(event: LeadershipEvent): void {
        if (event.kind === "lead") {
            endTerm();
            beginTerm(event.term, event.formerTerm);
        } else if (event.kind === "lost") {
            endTerm();
        } else {
            planning?.planner.send({ kind: event.kind });
        }
    }

    const leadership = startLeadershipTask({
        store,
        registration: ownRegistration,
        clock,
        log: log.part("leadership"),
        newWriteId,
        campaignDelayMs: () =>
            campaignDelayOf({ share: settings.cpuShare, speed: settings.cpuSpeed }, Math.random()),
        notify: handleLeadershipEvent,
    });
    const replica = startReplicaTask({
        store,
        prefix: ROOT_PREFIX,
        clock,
        log: log.part("replica"),
        onChange: handleStoreChange,
        onLoaded: () => leadership.send({ kind: "loaded" }),
        onConfirmed: atMs => jobApiTask.send({ kind: "confirmed", atMs }),
    });
    const presence = startPresenceTask({
        store,
        key: entryKey(ownRegistration.name),
        registration: ownRegistration,
        clock,
        log: log.part("presence"),
        newWriteId,
    });
    const manifest = startManifestTask({
        store,
        key: MANIFEST_KEY,
        decode: decodeManifest,
        clock,
        log: log.part("manifest"),
        onApplied(appliedManifest) {
            manifestIndex = indexManifest(appliedManifest);
            metrics.manifestRevision(appliedManifest.revision);
            planning?.planner.send({ kind: "manifest", index: manifestIndex });
        },
        onConfirmed: metrics.manifestConfirmed,
        evacuation: evacuations?.following,
    });

    const peerListener = await startPeerListener(
        peerAddress,
        PLATFORM_PEER_TOKEN,
        createEntryPlanRouter({
            relay: storeAccess.relay,
            learn: async item => replica.send({ kind: "learned", item }),
            doubt: async id => jobApiTask.send({ kind: "doubt", id }),
        }),
        undefined,
        intakes.forPeers(),
    );
    const readyListener = await startReadyListener(
        settings.readyAddress,
        () => manifestIndex !== undefined && !isStopping && !storeAccess.isUnavailable(),
        intakes.forProbes(),
    );
    const jobListener = await startJobListener({
        address: settings.callerAddress,
        jobApi: createJobApi(jobApiTask),
        access: call => manifestIndex && checkAccess(manifestIndex, call),
        bodyLimitBytes: () => manifestIndex?.manifest.bodyLimitBytes ?? 0,
        log: log.part("ingress"),
        intake: intakes.forCallers(
            cacheLimits(
                () => settings,
                () => manifestIndex?.manifest,
            ),
        ),
    });
    const metricsListener = await startMetricsListener({
        address: `${settings.ip}:${settings.metricsPort}`,
        contentType: exposition.contentType,
        text: exposition.text,
        health: () => (isStopping ? "stopping" : "serving"),
        intake: intakes.forProbes(),
    });
    log.info("The entry is serving.", { callerAddress: settings.callerAddress, peerAddress });

    return {
        addresses: { callerAddress: jobListener.address, peerAddress },
        reload() {
            settings = reloadSettings(settings, readSettings, log);
        },
        async stop() {
            isStopping = true;
            jobListener.retire();
            log.info("The entry is stopping.");
            // At the same time, since a store that does not answer delays the resignation, and the platform kills the
            // process at the end of its grace time.
            await Promise.all([
                leadership.ask((reply: Reply<void>) => ({ kind: "resign", reply })),
                new Promise<void>(resolve => clock.startTimer(ROUTING_STOP_WAIT_MS, resolve)),
            ]);
            await jobListener.close();
            await presence.ask((reply: Reply<void>) => ({ kind: "leave", reply }));
            log.info("The entry has stopped.");
            await readyListener.close();
            await peerListener.close();
            await Promise.all([jobApiTask.stop(), replica.stop(), presence.stop(), manifest.stop()]);
            await leadership.stop();
            await storeAccess.close();
            await clients.close();
            await metricsListener.close();
            exposition.stop();
        },
    };
}

/** Peer addresses of the other entries: the registered ones, or the seeds while no other entry is registered. */
function relayAddresses(
    { seeds, peerPort }: PlatformEntrySettings,
    registeredEntries: Map<string, Registration>,
    ownAddress: string,
): string[] {
    // Includes this entry once it is registered, so that a single registration means no other entry.
    const registered = [...registeredEntries.values()].map(entry => entry.address);
    const known = registered.length > 1 ? registered : seeds.map(seed => `${seed.split(":")[0]}:${peerPort}`);
    return known.filter(address => address !== ownAddress);
}
