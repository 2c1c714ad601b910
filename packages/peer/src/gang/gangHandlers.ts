import type {
    CommitReply,
    CommitRequest,
    GangAttemptId,
    LeaseRequest,
    PartReply,
    PrepareRequest,
    Reservation,
    ReserveReply,
    SettleRequest,
    SettleReply,
    StopRequest,
    StopReply,
} from "@tanagerdeck/decisions/gang/gangTypes";
import { authorizedProcedure, passThrough } from "../link/trpcBase.ts";

/** Operations of a worker's agent as a member of gangs; independent of the transport. */
export interface MemberHandlers {
    reserve(reservation: Reservation): Promise<ReserveReply>;
    release(reference: GangAttemptId): Promise<{ released: true }>;
    prepare(preparation: PrepareRequest): Promise<PartReply>;
    start(order: LeaseRequest): Promise<PartReply>;
    renew(order: LeaseRequest): Promise<PartReply>;
    stop(order: StopRequest): Promise<StopReply>;
}

/** Operations of a worker's agent as the anchor of gangs; independent of the transport. */
export interface AnchorHandlers {
    commit(commitment: CommitRequest): Promise<CommitReply>;
    settleGang(settlement: SettleRequest): Promise<SettleReply>;
    reclaimGang(reference: GangAttemptId): Promise<{ accepted: true }>;
}

/** All gang operations of an agent. */
export type GangHandlers = MemberHandlers & AnchorHandlers;

/** Handlers of an agent without accelerators, which refuses all gangs. */
export const noGangHandlers: GangHandlers = {
    reserve: async () => ({ kind: "refused", reason: "invalid" }),
    release: async () => ({ released: true }),
    prepare: async () => ({ kind: "lost", reason: "stale" }),
    start: async () => ({ kind: "lost", reason: "stale" }),
    renew: async () => ({ kind: "lost", reason: "stale" }),
    stop: async () => ({ kind: "stopped" }),
    commit: async () => ({ kind: "refused", reason: "stale" }),
    settleGang: async () => ({ kind: "unknown" }),
    reclaimGang: async () => ({ accepted: true }),
};

/** Builds the trpc procedures of the gang operations. */
export function createGangProcedures(handlers: GangHandlers) {
    return {
        reserve: authorizedProcedure
            .input(passThrough<Reservation>)
            .mutation(({ input }) => handlers.reserve(input)),
        release: authorizedProcedure
            .input(passThrough<GangAttemptId>)
            .mutation(({ input }) => handlers.release(input)),
        prepare: authorizedProcedure
            .input(passThrough<PrepareRequest>)
            .mutation(({ input }) => handlers.prepare(input)),
        start: authorizedProcedure
            .input(passThrough<LeaseRequest>)
            .mutation(({ input }) => handlers.start(input)),
        renew: authorizedProcedure
            .input(passThrough<LeaseRequest>)
            .mutation(({ input }) => handlers.renew(input)),
        stop: authorizedProcedure
            .input(passThrough<StopRequest>)
            .mutation(({ input }) => handlers.stop(input)),
        commit: authorizedProcedure
            .input(passThrough<CommitRequest>)
            .mutation(({ input }) => handlers.commit(input)),
        settleGang: authorizedProcedure
            .input(passThrough<SettleRequest>)
            .mutation(({ input }) => handlers.settleGang(input)),
        reclaimGang: authorizedProcedure
            .input(passThrough<GangAttemptId>)
            .mutation(({ input }) => handlers.reclaimGang(input)),
    };
}
