import type { Either } from "purify-ts/Either";
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
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { peerCall } from "../link/peerCall.ts";
import type { PeerClients } from "../link/peerClient.ts";

/** Calls of a gang's anchor to the members' agents at `ip:port`. */
export interface MemberCalls {
    prepare(address: string, preparation: PrepareRequest): Promise<Either<Failure, PartReply>>;
    start(address: string, order: LeaseRequest): Promise<Either<Failure, PartReply>>;
    renew(address: string, order: LeaseRequest): Promise<Either<Failure, PartReply>>;
    stop(address: string, order: StopRequest): Promise<Either<Failure, StopReply>>;
}

/** Calls of a coordinator, which reserves and commits gangs, to agents at `ip:port`. */
export interface CoordinatorCalls {
    reserve(address: string, reservation: Reservation): Promise<Either<Failure, ReserveReply>>;
    release(address: string, reference: GangAttemptId): Promise<Either<Failure, { released: true }>>;
    commit(address: string, commitment: CommitRequest): Promise<Either<Failure, CommitReply>>;
    settleGang(address: string, settlement: SettleRequest): Promise<Either<Failure, SettleReply>>;
}

/** Short enough for a call and one retry within the anchor's round timeout of 1,000 ms. */
export const MEMBER_TIMEOUT_MS = 450;
const COORDINATOR_TIMEOUT_MS = 1_000;

/** Implements the anchor's calls over trpc. */
export function createMemberCalls(clients: PeerClients): MemberCalls {
    return {
        prepare: (address, input) =>
            peerCall(MEMBER_TIMEOUT_MS, signal => clients.agent(address).prepare.mutate(input, { signal })),
        start: (address, input) =>
            peerCall(MEMBER_TIMEOUT_MS, signal => clients.agent(address).start.mutate(input, { signal })),
        renew: (address, input) =>
            peerCall(MEMBER_TIMEOUT_MS, signal => clients.agent(address).renew.mutate(input, { signal })),
        stop: (address, input) =>
            peerCall(MEMBER_TIMEOUT_MS, signal => clients.agent(address).stop.mutate(input, { signal })),
    };
}

/** Implements a coordinator's calls over trpc. */
export function createCoordinatorCalls(clients: PeerClients): CoordinatorCalls {
    return {
        reserve: (address, input) =>
            peerCall(COORDINATOR_TIMEOUT_MS, signal =>
                clients.agent(address).reserve.mutate(input, { signal }),
            ),
        release: (address, input) =>
            peerCall(COORDINATOR_TIMEOUT_MS, signal =>
                clients.agent(address).release.mutate(input, { signal }),
            ),
        commit: (address, input) =>
            peerCall(COORDINATOR_TIMEOUT_MS, signal =>
                clients.agent(address).commit.mutate(input, { signal }),
            ),
        settleGang: (address, input) =>
            peerCall(COORDINATOR_TIMEOUT_MS, signal =>
                clients.agent(address).settleGang.mutate(input, { signal }),
            ),
    };
}
