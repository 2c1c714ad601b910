import { expect } from "chai";
import { Left, Right } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Reservation, ReserveReply } from "@tanagerdeck/decisions/gang/gangTypes";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createPeerClients, type PeerClients } from "@tanagerdeck/peer/link/peerClient";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { gangConfiguration } from "@tanagerdeck/standins/gang/gangConfiguration";
import { pollUntil } from "@tanagerdeck/standins/processes/polling";
import { startWorkerStandin, type WorkerStandin } from "@tanagerdeck/standins/worker/workerStandin";
import type { BackendServer } from "./agentCore.ts";
import { startWorkerServer } from "./workerServer.ts";

const HELD_REVISION = 2;
const READY_LIMIT_MS = 10_000;

/** Guards against an agent holding accelerators for an entry whose configuration is older than its own. */
describe("invariant 8: an accepted configuration is in force everywhere and never reverts", () => {
    let worker: WorkerStandin;
    let clients: PeerClients;
    let server: BackendServer;

    before(async () => {
        worker = await startWorkerStandin("127.0.0.1:0");
        clients = createPeerClients("peer-token-for-tests");
        server = startWorkerServer({
            settings: { address: worker.listener.address, rack: "rack-0", slot: 0, accelerators: 2 },
            incarnation: "one",
            agentAddress: () => "127.0.0.1:1",
            drainGraceMs: 0,
            clients,
            clock: systemClock,
            log: noopLog,
            requireConfiguration: async revision =>
                revision < HELD_REVISION
                    ? Left(failure("not-run", "stale-configuration", "The entry is behind."))
                    : Right({ ...gangConfiguration(), revision: HELD_REVISION } as Configuration),
        });
        const granted = async () => (await reserve("warm-up", HELD_REVISION)).kind === "granted";
        await pollUntil(granted, READY_LIMIT_MS, "the worker's first grant");
        await server.handlers.gangs.release({ gang: "vans/warm-up", attempt: 1 });
    });
    after(async () => {
        await server.stop();
        await clients.close();
        await worker.listener.close();
    });

    describe("step: reserve of a gang", () => {
        it("fault: entry behind the agent's revision: refused, and nothing is held", async () => {
            expect(await reserve("stale", HELD_REVISION - 1)).to.deep.equal({
                kind: "refused",
                reason: "stale-configuration",
            });
            const { worker: load } = await server.report();
            expect(load?.accelerators.map(({ kind }) => kind)).to.deep.equal(["free", "free"]);
        });

        it("fault: entry at the agent's revision: granted", async () => {
            expect(await reserve("current", HELD_REVISION)).to.include({ kind: "granted" });
        });
    });

    function reserve(job: string, configurationRevision: number): Promise<ReserveReply> {
        const reservation: Reservation = {
            gang: `vans/${job}`,
            attempt: 1,
            clientAccount: "vans",
            indexes: [0, 1],
            guaranteed: false,
            holdMs: 3_000,
            configurationRevision,
        };
        return server.handlers.gangs.reserve(reservation);
    }
});
