/** A task of a gang that is present on a worker. */
export interface GangMember {
    task: string;
    /** Lets the task work; called when all are present. */
    begin(): void;
    /** Ends the task because another one has ended; `isDone` if that one was done. */
    partnerEnded(isDone: boolean): void;
}

/** Where the tasks of gangs meet, across all workers of the emulator. */
export interface GangRoom {
    /** Adds a member of a run and begins the gang if it is complete. */
    enter(key: string, size: number, member: GangMember): void;
    /** Removes a member that has ended and ends the others. */
    leave(key: string, task: string, isDone: boolean): void;
}

/** Builds an empty room. */
export function createGangRoom(): GangRoom {
    const gangs = new Map<string, Map<string, GangMember>>();
    return {
        enter(key, size, member) {
            const members = gangs.get(key) ?? new Map<string, GangMember>();
            members.set(member.task, member);
            gangs.set(key, members);
            if (members.size === size) {
                for (const present of members.values()) {
                    present.begin();
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
                other.partnerEnded(isDone);
            }
        },
    };
}
