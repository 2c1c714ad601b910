import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import { authorizedProcedure, passThrough, router } from "./trpcBase.ts";

/** State of an entry's configuration, as other processes see it. */
export interface ConfigurationStatus {
    /** Name of the answering entry; an entry that calls itself through a load balancer recognises its own name. */
    entry: string;
    revision: number;
    /**
     * Milliseconds since the revision was last confirmed by the platform, directly or through another entry;
     * undefined if it never was.
     */
    confirmedAgoMs?: number;
    platformReachable: boolean;
}

/** Operations of an entry for agents and other entries; independent of the transport. */
export interface EntryHandlers {
    announce(report: Report): Promise<ReportReply>;
    configurationStatus(): Promise<ConfigurationStatus>;
    /** Returns the configuration if it is newer than `afterRevision`, else undefined. */
    configuration(query: { afterRevision: number }): Promise<Configuration | undefined>;
}

/** Builds the trpc router of an entry's operations. */
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

/** Type of an entry's router; typed clients are derived from it. */
export type EntryRouter = ReturnType<typeof createEntryRouter>;
