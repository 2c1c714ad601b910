import { expect } from "chai";
import { Left, Right, type Either } from "purify-ts/Either";
import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import type { Manifest, OperatorKey } from "@tanagerdeck/decisions/manifest/manifestTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Instant } from "@tanagerdeck/runtime/clock/instant";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog, type Log } from "@tanagerdeck/runtime/log/log";
import type { Task } from "@tanagerdeck/runtime/task/task";
import { createMemoryStore, type MemoryStore } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { Item, KeyValueStore, Page } from "../keyvalue/keyValueTypes.ts";
import { startManifestTask, type ManifestMessage } from "./manifestTask.ts";

describe("evacuations beside the manifest", () => {
    let clock: ManualClock;
    let memory: MemoryStore;
    let store: KeyValueStore;
    let task: Task<ManifestMessage>;
    let applied: Manifest[];
    let view: EvacuationView | undefined;
    let confirmedAt: Instant | undefined;
    let views: Set<EvacuationView>;
    let lines: string[];
    let zones: Set<string>;
    let unsupported: string[];

    beforeEach(() => {
        clock = createManualClock();
        memory = createMemoryStore(clock);
        store = memory;
        applied = [];
        view = undefined;
        confirmedAt = undefined;
        views = new Set();
        lines = [];
        zones = new Set(["a", "b", "c", "d"]);
        unsupported = [];
        memory.write("op/config", "manifest");
    });

    afterEach(() => task.stop());

    function decodeKey(key: string): OperatorKey | undefined {
        const [, kind, name = ""] = key.split("/");
        if (kind === "evacuate") {
            return { kind: "evacuation", zone: name };
        }
        return kind === "wave" ? { kind: "unsupported", feature: "wave" } : undefined;
    }

    function decode({ revision }: Item): Either<string, Manifest> {
        const empty = { queues: [], services: [], clientAccounts: [] };
        const limits = { bodyLimitBytes: 0, headerLimitBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 };
        return Right({ revision, version: 1, ...empty, ...limits, unsupported });
    }

    async function start(): Promise<void> {
        const write = (message: string, fields: object = {}) =>
            lines.push([message, ...Object.values(fields).map(String)].join(" "));
        const log: Log = { ...noopLog, info: write, warn: write, error: write };
        task = startManifestTask({
            store,
            key: "op/config",
            decode,
            clock,
            log,
            onApplied: manifest => applied.push(manifest),
            onConfirmed() {},
            evacuation: {
                prefix: "op/",
                decodeKey,
                isKnownZone: zone => zones.has(zone),
                onView(confirmedView, at) {
                    view = confirmedView;
                    confirmedAt = at;
                    views.add(confirmedView);
                },
            },
        });
        await clock.advance(50);
    }

    function remove(key: string): Promise<unknown> {
        return memory.commit({ expected: [], puts: [], removes: [key] });
    }

    function evacuated(): string[] {
        return [...view!.revisions.keys()].sort();
    }

    function evacuationLines(): string[] {
        return lines.filter(line => /evacuat/.test(line));
    }

    /** Has the store list one item on each page, and calls `betweenPages` before each page but the first. */
    function paginate(betweenPages: (page: number) => Either<Failure, void> = () => Right(undefined)): void {
        let pages = 0;
        store = {
            ...memory,
            async page(prefix, after, allowStale) {
                pages = after === undefined ? 0 : pages + 1;
                if (pages > 0) {
                    const between = betweenPages(pages);
                    if (between.isLeft()) {
                        return Left(between.extract() as Failure);
                    }
                }
                const all = await memory.page(prefix, after, allowStale);
                return all.map((page): Page => ({
                    ...page,
                    items: page.items.slice(0, 1),
                    hasMore: page.items.length > 1,
                }));
            },
        };
    }

    it("are in the first view, whatever the values are", async () => {
        memory.write("op/evacuate/a", "not JSON");
        const revision = memory.write("op/evacuate/b", "");
        await start();
        expect(view!.revisions.get("b")).to.equal(revision);
        expect(evacuated()).to.deep.equal(["a", "b"]);
        expect(applied).to.have.length(1);
    });

    it("follow each request and removal, and are told once", async () => {
        await start();
        const first = memory.write("op/evacuate/a", "{}");
        await clock.advance(20);
        expect(evacuated()).to.deep.equal(["a"]);
        memory.write("op/evacuate/a", "{}");
        await clock.advance(20);
        await remove("op/evacuate/a");
        await clock.advance(20);
        expect(evacuated()).to.deep.equal([]);
        expect(evacuationLines()).to.deep.equal([
            `A zone is evacuated. a ${first}`,
            `The evacuation of a zone has ended. a ${first + 1}`,
        ]);
    });

    it("cost no call more than the manifest alone", async () => {
        await start();
        await clock.advance(10_000);
        expect(memory.calls.get("page")).to.equal(1);
        expect(memory.calls.get("watch")).to.be.within(10, 12);
        expect(memory.calls.get("get")).to.equal(undefined);
    });

    it("leave the view the same object while nothing changes", async () => {
        await start();
        memory.write("op/config", "another manifest");
        await clock.advance(5_000);
        expect(applied).to.have.length(2);
        expect(views).to.have.length(1);
    });

    describe("with a listing of several pages", () => {
        it("are read from all of them", async () => {
            memory.write("op/evacuate/a", "{}");
            memory.write("op/evacuate/c", "{}");
            paginate();
            await start();
            expect(evacuated()).to.deep.equal(["a", "c"]);
        });

        // Guards against a watch that begins behind a change which the pages do not show: the zone would stay in use.
        it("include one that is requested between the pages, on a page already read", async () => {
            memory.write("op/evacuate/b", "{}");
            memory.write("op/evacuate/c", "{}");
            paginate(page => {
                if (page === 2) {
                    memory.write("op/evacuate/a", "{}");
                }
                return Right(undefined);
            });
            await start();
            expect(evacuated()).to.deep.equal(["a", "b", "c"]);
        });

        // Guards against an evacuation that ends because its page could not be read.
        it("change nothing if a page fails", async () => {
            memory.write("op/evacuate/c", "{}");
            let fails = false;
            paginate(() =>
                fails ? Left(failure("not-run", "platform-unavailable", "no page")) : Right(undefined),
            );
            await start();
            fails = true;
            const before = memory.calls.get("page")!;
            memory.faults.mode = "silent";
            await clock.advance(1_500);
            memory.faults.mode = "none";
            await clock.advance(3_000);
            expect(memory.calls.get("page")).to.be.above(before + 10);
            expect(evacuated()).to.deep.equal(["c"]);
        });
    });

    describe("when the watch misses changes", () => {
        it("are taken from a new listing", async () => {
            memory.write("op/evacuate/a", "{}");
            await start();
            memory.faults.mode = "silent";
            memory.compact();
            await remove("op/evacuate/a");
            memory.faults.mode = "none";
            await remove("op/evacuate/a");
            memory.write("op/evacuate/b", "{}");
            memory.compact();
            await clock.advance(2_500);
            expect(evacuated()).to.deep.equal(["b"]);
        });
    });

    describe("while the store does not answer", () => {
        it("keep the view and the time of its confirmation, so that its age shows", async () => {
            memory.write("op/evacuate/a", "{}");
            await start();
            memory.faults.mode = "silent";
            await clock.advance(1_100);
            const { now } = confirmedAt!;
            await clock.advance(9_000);
            expect(confirmedAt!.now).to.equal(now);
            expect(evacuated()).to.deep.equal(["a"]);
        });
    });

    // Guards against a reply that was held up on its way, or a process that was suspended, and passes for fresh.
    it("are confirmed at the time at which the store surely ended the poll", async () => {
        const delayMs = 3_000;
        store = {
            ...memory,
            async watch(prefix, after, waitMs) {
                const reply = await memory.watch(prefix, after, waitMs);
                await new Promise<void>(resolve => clock.startTimer(delayMs, resolve));
                return reply;
            },
        };
        await start();
        const sentAt = clock.now();
        await clock.advance(8_500);
        // Each watch takes 4 s, of which the store holds it for 1 s: the latest reply is that to the second one.
        expect(confirmedAt!.now - sentAt).to.be.closeTo(5_000, 60);
        expect(confirmedAt!.wall - clock.wall()).to.be.closeTo(confirmedAt!.now - clock.now(), 1);
    });

    it("are confirmed at the time at which the call was sent if the reply has changes", async () => {
        await start();
        const sentAt = clock.now();
        await clock.advance(400);
        memory.write("op/evacuate/a", "{}");
        await clock.advance(50);
        expect(evacuated()).to.deep.equal(["a"]);
        expect(confirmedAt!.now - sentAt).to.be.closeTo(0, 60);
    });

    // Guards against a reply of a store member that lags behind and seems to confirm that nothing has changed.
    it("are not confirmed by a reply that is older than another one", async () => {
        const { revision } = (await memory.page("op/", undefined, false)).unsafeCoerce();
        let lags = false;
        store = {
            ...memory,
            watch: async (prefix, after, waitMs) =>
                (await memory.watch(prefix, after, waitMs)).map(reply =>
                    lags && reply.kind === "changes" ? { ...reply, changes: [], revision } : reply,
                ),
        };
        await start();
        memory.write("op/evacuate/a", "{}");
        await clock.advance(1_100);
        const { now } = confirmedAt!;
        lags = true;
        await clock.advance(2_000);
        expect(confirmedAt!.now).to.be.at.most(now + 1_000);
        expect(evacuated()).to.deep.equal(["a"]);
    });

    describe("of a zone that does not exist", () => {
        it("have no effect and are logged once", async () => {
            await start();
            memory.write("op/evacuate/moon", "{}");
            await clock.advance(20);
            memory.write("op/evacuate/moon", "{}");
            await clock.advance(3_000);
            expect(evacuated()).to.deep.equal([]);
            expect(evacuationLines()).to.have.length(1);
            expect(evacuationLines()[0]).to.match(/^An unknown zone is to be evacuated; it is ignored. moon/);
        });

        // Guards against a request that stays without effect because the zone was added to the settings later.
        it("take effect once the settings name it", async () => {
            await start();
            memory.write("op/evacuate/moon", "{}");
            await clock.advance(20);
            zones.add("moon");
            await clock.advance(1_100);
            expect(evacuated()).to.deep.equal(["moon"]);
        });
    });

    describe("and features that are not supported", () => {
        function featureLines(): string[] {
            return lines.filter(line => line.startsWith("The operator asks for features that are not"));
        }

        it("are logged once for each set of features", async () => {
            unsupported = ["spare", "advice"];
            await start();
            memory.write("op/wave/1", "{}");
            await clock.advance(20);
            memory.write("op/wave/2", "{}");
            memory.write("op/config", "another");
            await clock.advance(20);
            const sentence = "The operator asks for features that are not supported.";
            expect(featureLines()).to.deep.equal([
                `${sentence} advice spare`,
                `${sentence} advice spare wave`,
            ]);
        });

        it("are not mentioned if there are none", async () => {
            await start();
            await clock.advance(3_000);
            expect(featureLines()).to.deep.equal([]);
        });
    });
});
