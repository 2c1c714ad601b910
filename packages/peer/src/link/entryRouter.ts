import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import { authorizedProcedure, passThrough, router } from "./trpcBase.ts";

/** What an entry knows of its configuration, for other processes. */
export interface ConfigurationStatus {
    /** Name of the answering entry, so that an entry recognises itself behind a load balancer. */
    entry: string;
    revision: number;
    /**
     * Milliseconds since the revision was last confirmed by the platform, directly or through another entry;
     * undefined if it never was.
     */
    confirmedAgoMs?: number;
    platformReachable: boolean;
}

/** What an entry does for agents and other entries; independent of the transport. */
export interface EntryHandlers {
    announce(report: Report): Promise<ReportReply>;
    configurationStatus(): Promise<ConfigurationStatus>;
    /** The configuration if it is newer than `afterRevision`. */
    configuration(query: { afterRevision: number }): Promise<Configuration | undefined>;
}

/** Maps the entry's operations to trpc procedures. */
export function createEntryRouter(handlers: EntryHandlers) {
    return router({
        announce: authorizedProcedure
            .input(passThrough<Report>)
            .mutation(({ input }) => handlers.announce(input)),
        configurationStatus: authorizedProcedure.mutation(() => handlers.configurationStatus()),
        configuration: authorizedProcedure
            .input(passThrough<{ afterRevision: number }>)
            .mutation(({ input }) => handlers.configuration(input)),
    });
}

/** Type of the entry's router, for clients. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
