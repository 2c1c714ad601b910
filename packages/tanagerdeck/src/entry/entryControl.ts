import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Registration } from "@tanagerdeck/decisions/fleet/entryPresence";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startEntryConfigurationTask } from "@tanagerdeck/peer/configuration/entryConfigurationTask";
import type { ConfigurationStatus } from "@tanagerdeck/peer/link/entryRouter";
import { startMembershipTask } from "@tanagerdeck/peer/membership/membershipTask";
import { startConfigurationTask } from "@tanagerdeck/store/configuration/configurationTask";
import { startRebindingTask, type Rebind } from "@tanagerdeck/store/configuration/rebindingTask";
import { startRegistrationTask } from "@tanagerdeck/store/registration/registrationTask";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import { startUsageTask } from "@tanagerdeck/store/usage/usageTask";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";

/** Interval at which agents send their reports. */
const AGENT_REPORT_INTERVAL_MS = 2_000;

/** Dependencies of an entry's control tasks. */
export interface EntryControlOptions {
    environment: string;
    /** Registration of this entry. */
    ownRegistration: Registration;
    /** Configured peer addresses of entries, which are used in addition to the registered ones. */
    seeds: string[];
    store: Store;
    clock: Clock;
    log: Log;
    random: () => number;
    fetchConfigurationStatus: (address: string) => Promise<Either<Failure, ConfigurationStatus>>;
    fetchConfiguration: (
        address: string,
        afterRevision: number,
    ) => Promise<Either<Failure, Configuration | undefined>>;
    /** Moves bindings from missing workers to other workers; if undefined, bindings are never moved. */
    rebind: Rebind | undefined;
    /** Called with each configuration that this entry starts to use. */
    onConfigurationAdopted: (configuration: Configuration) => void;
    /** Called with the view of all agents after a change. */
    onFleetChanged: (agents: AgentView[]) => void;
    /** Called with the number of entries that serve the environment, including this one. */
    onEntryCountChanged: (count: number) => void;
    /** Called once for each entry that counts as gone; its jobs need another owner. */
    onEntryGone: (entry: Registration) => void;
}

/** The running control tasks of an entry. */
export type EntryControl = ReturnType<typeof startEntryControl>;

/** Starts the control tasks of an entry: configuration, membership, registration, usage and rebinding. */
export function startEntryControl(options: EntryControlOptions) {
    const { environment, ownRegistration, store, clock, log, random } = options;
    const membership = startMembershipTask({
        clock,
        log: log.part("membership"),
        reportIntervalMs: AGENT_REPORT_INTERVAL_MS,
        onChanged(agents) {
            rebinding?.send({ kind: "fleet", agents });
            options.onFleetChanged(agents);
        },
        onReported: ({ name, incarnation, usage: counters }) =>
            usage.send({ kind: "report", agent: name, incarnation, counters }),
    });
    const usage = startUsageTask({
        environment,
        entry: ownRegistration.name,
        store,
        clock,
        log: log.part("usage"),
        random,
    });
    const configuration = startEntryConfigurationTask({
        entry: ownRegistration.name,
        clock,
        log: log.part("configuration"),
        random,
        seeds: options.seeds,
        askStatus: options.fetchConfigurationStatus,
        fetchConfiguration: options.fetchConfiguration,
        readPlatform: () => configurationReader.send({ kind: "read" }),
        onAdopted(adopted) {
            const { revision, document } = adopted;
            membership.send({ kind: "configuration", revision, racks: document.racks });
            rebinding?.send({ kind: "configuration", configuration: adopted });
            options.onConfigurationAdopted(adopted);
        },
    });
    const configurationReader = startConfigurationTask({
        environment,
        store,
        clock,
        log: log.part("configuration"),
        random,
        onRead: read => configuration.send({ kind: "platform-read", read }),
    });
    const rebinding = options.rebind
        ? startRebindingTask({
              environment,
              entry: ownRegistration.name,
              store,
              clock,
              log: log.part("rebinding"),
              random,
              rebind: options.rebind,
              onAccepted: accepted => configuration.send({ kind: "offer", configuration: accepted }),
          })
        : undefined;
    membership.send({ kind: "entries", addresses: [ownRegistration.address, ...options.seeds] });
    const registration = startRegistrationTask({
        environment,
        registration: ownRegistration,
        store,
        clock,
        log: log.part("registration"),
        random,
        onChange(others) {
            const addresses = others.map(({ address }) => address);
            const entryAddresses = new Set([ownRegistration.address, ...addresses, ...options.seeds]);
            membership.send({ kind: "entries", addresses: [...entryAddresses] });
            configuration.send({ kind: "entries", addresses });
            options.onEntryCountChanged(others.length + 1);
            usage.send({ kind: "entries", names: others.map(({ name }) => name) });
        },
        onGone: options.onEntryGone,
    });
    return {
        /** Replies to an agent's report with the entry's configuration revision and the age of its confirmation. */
        async handleReport(report: Report): Promise<ReportReply> {
            const reply = await membership.ask<ReportReply>(answer => ({
                kind: "report",
                report,
                reply: answer,
            }));
            const { revision, confirmedAgoMs } = await configuration.ask<ConfigurationStatus>(answer => ({
                kind: "own-status",
                reply: answer,
            }));
            return {
                ...reply,
                configurationRevision: revision,
                configurationConfirmedAgoMs: confirmedAgoMs,
            };
        },
        membership,
        configuration,
        usage,
        registration,
        async stop() {
            await registration.stop();
            await configurationReader.stop();
            await rebinding?.stop();
            await configuration.stop();
            await usage.stop();
            await membership.stop();
        },
    };
}
