import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Registration } from "@tanagerdeck/decisions/fleet/entryPresence";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { applyDocument } from "@tanagerdeck/operator/document/applyDocument";
import { createDocumentRoutes } from "@tanagerdeck/operator/document/documentRoutes";
import { createDrainRoutes } from "@tanagerdeck/operator/drain/drainRoutes";
import { agentStatuses, createStatusRoutes } from "@tanagerdeck/operator/status/statusRoutes";
import { createUsageRoutes } from "@tanagerdeck/operator/usage/usageRoutes";
import type { ConfigurationStatus } from "@tanagerdeck/peer/link/entryRouter";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import type { PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { listHistory } from "@tanagerdeck/store/configuration/acceptedConfiguration";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import type { UsageSummary } from "@tanagerdeck/store/usage/usageTask";
import type { Routes } from "@tanagerdeck/runtime/http/routes";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { EntryControl } from "./entryControl.ts";

/** Timeout of the drain call. It is shorter than the 5 s within which every process must apply a drain. */
const DRAIN_CALL_TIMEOUT_MS = 2_000;

/** Dependencies of the operator routes. */
export interface OperatorRouteOptions {
    environment: string;
    entry: string;
    store: Store;
    clients: PeerClients;
    control: EntryControl;
    /** Returns the wall clock time in milliseconds. */
    now: () => number;
    /** Returns the number of platform calls by operation since the start of the entry. */
    countPlatformCalls: () => Record<string, number>;
}

/** Creates all routes of the operator listener. */
export function createOperatorRoutes(options: OperatorRouteOptions): Routes<undefined> {
    const { environment, store, clients, control, now } = options;
    const currentConfiguration = () =>
        control.configuration.ask((reply: Reply<Configuration | undefined>) => ({ kind: "get", reply }));
    return {
        ...createDocumentRoutes({
            async apply(change) {
                const result = await applyDocument({ store, environment, now }, change);
                result.ifRight(({ configuration }) => {
                    if (configuration) {
                        control.configuration.send({ kind: "offer", configuration });
                    }
                });
                return result;
            },
            current: currentConfiguration,
            history: () => listHistory(store, environment),
        }),
        ...createDrainRoutes({
            find: agent =>
                control.membership.ask((reply: Reply<AgentView | undefined>) => ({
                    kind: "find",
                    agent,
                    reply,
                })),
            drain: address =>
                peerCall(DRAIN_CALL_TIMEOUT_MS, signal =>
                    clients.agent(address).drain.mutate(undefined, { signal }),
                ),
            drained: agent => control.membership.send({ kind: "drained", agent }),
        }),
        ...createUsageRoutes(() =>
            control.usage.ask((reply: Reply<UsageSummary>) => ({ kind: "summarize", reply })),
        ),
        ...createStatusRoutes(async () => {
            const status = await control.configuration.ask((reply: Reply<ConfigurationStatus>) => ({
                kind: "own-status",
                reply,
            }));
            const admission = await control.configuration.ask(
                (reply: Reply<Either<Failure, Configuration>>) => ({ kind: "admit", reply }),
            );
            const agents = await control.membership.ask((reply: Reply<AgentView[]>) => ({
                kind: "get",
                reply,
            }));
            return {
                entry: options.entry,
                environment,
                configuration: {
                    revision: status.revision,
                    digest: (await currentConfiguration())?.digest,
                    confirmedAgoMs: status.confirmedAgoMs,
                    platformReachable: status.platformReachable,
                    refusal: admission.isLeft() ? admission.extract().reason : undefined,
                },
                entries: await control.registration.ask((reply: Reply<Registration[]>) => ({
                    kind: "get",
                    reply,
                })),
                agents: agentStatuses(agents),
                platformCalls: options.countPlatformCalls(),
            };
        }),
    };
}
