import { expect } from "chai";
import { traceJob } from "./jobTrace.ts";

describe("traceJob", () => {
    function line(seconds: number, name: string, msg: string, fields: object = {}, level = 30): string {
        const time = `2026-12-04T10:00:${String(seconds).padStart(2, "0")}.000Z`;
        return JSON.stringify({ name, hostname: "h", pid: 1, level, ...fields, msg, time, v: 0 });
    }

    const logs = [
        "  17.2418 entry-2 " +
            line(4, "entry-2", "planner: A run has ended.", { task: "aa.0.0.0", detail: "done" }),
        line(1, "entry-1", "desk: A job was accepted.", { job: "aa" }),
        line(2, "entry-2", "planner: A group was placed.", { job: "aa", group: "0.0" }),
        line(2, "entry-2", "planner: A group was placed.", { job: "aab", group: "0.0" }),
        line(3, "entry-2", "store: The store does not answer.", {}, 40),
        line(0, "entry-2", "replica: The store cannot be watched.", {}, 40),
        line(9, "entry-2", "store: The store does not answer.", {}, 40),
        line(3, "entry-2", "planner: A group gives way.", { job: "bb", for: "aa" }),
        '{"ready":true}',
        "no log line {",
    ].join("\n");

    it("returns the job's lines of all processes, ordered by time", () => {
        expect(
            traceJob("aa", logs).map(({ time, process }) => `${time.slice(17, 19)} ${process}`),
        ).to.deep.equal(["00 entry-2", "01 entry-1", "02 entry-2", "03 entry-2", "03 entry-2", "04 entry-2"]);
    });

    it("includes warnings of the store from shortly before and during the job, as no line of the job has them", () => {
        const sentences = traceJob("aa", logs).map(({ sentence }) => sentence);
        expect(sentences.filter(sentence => /^(store|replica):/.test(sentence))).to.have.length(2);
    });

    // Guards against a wait whose cause, an evacuation, no line of the job names.
    it("includes the beginnings and ends of evacuations", () => {
        const evacuations = [
            line(2, "entry-1", "manifest: A zone is evacuated.", { zone: "z", revision: 7 }),
            line(3, "entry-1", "manifest: The evacuation of a zone has ended.", { zone: "z" }),
            line(3, "entry-1", "manifest: A manifest was applied."),
        ];
        const traced = traceJob("aa", `${logs}\n${evacuations.join("\n")}`);
        expect(traced.filter(({ sentence }) => sentence.startsWith("manifest:"))).to.deep.equal([
            {
                time: "2026-12-04T10:00:02.000Z",
                process: "entry-1",
                sentence: "manifest: A zone is evacuated.",
                fields: { zone: "z", revision: 7 },
            },
            {
                time: "2026-12-04T10:00:03.000Z",
                process: "entry-1",
                sentence: "manifest: The evacuation of a zone has ended.",
                fields: { zone: "z" },
            },
        ]);
    });

    it("keeps a line's own fields and drops those of the log format", () => {
        expect(traceJob("aa", logs).at(-1)?.fields).to.deep.equal({ task: "aa.0.0.0", detail: "done" });
    });

    it("returns nothing for a job that no line mentions", () => {
        expect(traceJob("cc", logs)).to.deep.equal([]);
    });
});
