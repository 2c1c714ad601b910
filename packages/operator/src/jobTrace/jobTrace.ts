import { z } from "zod";

/** One log line on the way of a job. */
export interface TracedLine {
    /** ISO 8601 time of the process that wrote it; clocks of VMs may differ by some milliseconds. */
    time: string;
    process: string;
    sentence: string;
    /** The fields that decided, without those that every line has. */
    fields: Record<string, unknown>;
}

const lineSchema = z.looseObject({ time: z.string(), name: z.string(), msg: z.string(), level: z.number() });
type LogLine = z.infer<typeof lineSchema>;

/** Fields of the log's format that say nothing about the job. */
const FORMAT_FIELDS = new Set(["time", "name", "msg", "level", "hostname", "pid", "v"]);
const WARNING_LEVEL = 40;
/** Parts whose warnings concern every job of the time. */
const SHARED_PARTS = ["leadership", "store", "replica", "manifest", "session"];
/** Events of the shared parts that are no warnings but change who decides. */
const SHARED_SENTENCES = ["This process leads.", "This process resigns.", "Planning begins."];

/** Causes of a job's first line, such as an outage of the store, are this much older at most. */
const CONTEXT_MS = 10_000;

/**
 * The lines of one job, of all processes in order of time, and between them what happened to the store, the leader
 * and the agents. Lines may have a prefix before their JSON object; other text is left out.
 */
export function traceJob(id: string, text: string): TracedLine[] {
    const lines: LogLine[] = [];
    for (const line of text.split("\n")) {
        const parsed = parseLine(line);
        if (parsed) {
            lines.push(parsed);
        }
    }
    lines.sort((left, right) => (left.time < right.time ? -1 : Number(left.time > right.time)));
    const first = lines.findIndex(line => mentionsJob(line, id));
    const last = lines.findLastIndex(line => mentionsJob(line, id));
    if (first < 0) {
        return [];
    }
    const from = Date.parse(lines[first]!.time) - CONTEXT_MS;
    return lines
        .slice(0, last + 1)
        .filter(line => Date.parse(line.time) >= from)
        .filter(line => mentionsJob(line, id) || isSharedEvent(line))
        .map(toTracedLine);
}

function parseLine(line: string): LogLine | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        return lineSchema.safeParse(JSON.parse(line.slice(start))).data;
    } catch {
        return undefined;
    }
}

function mentionsJob({ job, task, for: preemptingJob }: LogLine, id: string): boolean {
    return job === id || preemptingJob === id || (typeof task === "string" && task.startsWith(`${id}.`));
}

function isSharedEvent({ msg, level }: LogLine): boolean {
    const [part = "", sentence = ""] = msg.split(": ");
    const isWarning = level >= WARNING_LEVEL && SHARED_PARTS.includes(part);
    return isWarning || SHARED_SENTENCES.includes(sentence);
}

function toTracedLine(line: LogLine): TracedLine {
    const fields: Record<string, unknown> = {};
    for (const [name, value] of Object.entries(line)) {
        if (!FORMAT_FIELDS.has(name)) {
            fields[name] = value;
        }
    }
    return { time: line.time, process: line.name, sentence: line.msg, fields };
}
