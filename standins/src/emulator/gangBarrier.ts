/** A gang task that has started on a worker. */
export interface GangMember {
    task: string;
    rack: string;
    /** Starts the task's work; called once all members have joined. */
    startWork(isOneRack: boolean): void;
    /** Ends the task because another member has ended; `isDone` says whether that member completed its work. */
    memberEnded(isDone: boolean): void;
}

/** Start barrier for the tasks of gangs, shared by all workers of the emulator. */
export interface GangBarrier {
    /** Adds a member to the gang run `key`; starts the work of all when `size` members have joined. */
    join(key: string, size: number, member: GangMember): void;
    /** Removes the gang run of a member that has ended and ends its other members. */
    leave(key: string, task: string, isDone: boolean): void;
}

/** Builds a barrier without members. */
export function createGangBarrier(): GangBarrier {
    const gangs = new Map<string, Map<string, GangMember>>();
    return {
        join(key, size, member) {
            const members = gangs.get(key) ?? new Map<string, GangMember>();
            members.set(member.task, member);
            gangs.set(key, members);
            if (members.size === size) {
                const isOneRack = new Set([...members.values()].map(({ rack }) => rack)).size === 1;
                for (const waitingMember of members.values()) {
                    waitingMember.startWork(isOneRack);
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
