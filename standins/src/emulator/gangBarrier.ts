/** A task of a gang that is present on a worker. */
export interface GangMember {
    task: string;
    /** Lets the task work; called when all are present. */
    startWork(): void;
    /** Ends the task because another one has ended; `isDone` if that one was done. */
    memberEnded(isDone: boolean): void;
}

/** Where the tasks of gangs meet, across all workers of the emulator. */
export interface GangBarrier {
    /** Adds a member of a run and begins the gang if it is complete. */
    join(key: string, size: number, member: GangMember): void;
    /** Removes a member that has ended and ends the others. */
    leave(key: string, task: string, isDone: boolean): void;
}

/** Builds an empty room. */
export function createGangBarrier(): GangBarrier {
    const gangs = new Map<string, Map<string, GangMember>>();
    return {
        join(key, size, member) {
            const members = gangs.get(key) ?? new Map<string, GangMember>();
            members.set(member.task, member);
            gangs.set(key, members);
            if (members.size === size) {
                for (const waitingMember of members.values()) {
                    waitingMember.startWork();
                }
            }
        },
        leave(key, task, isDone) {
            const members = gangs.get(key);
            if (!members?.delete(task)) {
                return;
            }
            gangs.delete(key);
            for (const other of members.values()) {
                other.memberEnded(isDone);
            }
        },
    };
}
