import { z } from "zod";

/** One log line of a job's trace. */
export interface TracedLine {
    /** ISO 8601 time at the process that wrote the line; clocks of VMs may differ by some milliseconds. */
    time: string;
    process: string;
    sentence: string;
    /** The line's own fields, without those that every log line has. */
    fields: Record<string, unknown>;
}

const lineSchema = z.looseObject({ time: z.string(), name: z.string(), msg: z.string(), level: z.number() });
type LogLine = z.infer<typeof lineSchema>;

/** Fields of the log format, which say nothing about the job. */
const FORMAT_FIELDS = new Set(["time", "name", "msg", "level", "hostname", "pid", "v"]);
const WARNING_LEVEL = 40;
/** Parts whose warnings affect every job at that time. */
const SHARED_PARTS = ["leadership", "store", "replica", "manifest", "session"];
/** Sentences that are not warnings but show a change of the leader, the start of planning or an evacuation. */
const SHARED_SENTENCES = [
    "This process leads.",
    "This process resigns.",
    "Planning begins.",
    "A zone is evacuated.",
    "The evacuation of a zone has ended.",
];

/** Shared events are shown from this long before a job's first line, as an outage of the store may be its cause. */
const CONTEXT_MS = 10_000;

/**
 * Extracts the log lines of one job from the logs of all processes, ordered by time, with the events of the store, the
 * leader and the agents that affect every job. A line may have a prefix before its JSON object; other text is skipped.
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
