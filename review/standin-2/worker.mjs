// Stand-in of a runner: starts, stops and holds over HTTP/1.1, leases on its own clock, heartbeats to its agent.
import { createServer, request as sendRequest, Agent } from "node:http";
import { performance } from "node:perf_hooks";
import { clearInterval, clearTimeout, setInterval, setTimeout } from "node:timers";

const LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_500;
/** `restore_ms` of the site okasplit, the longer one. */
const RESTORE_MS = 600;

/**
 * Creates a runner at `address`. A task's `spec` is JSON: `ms` (its duration), `cpu`, `mem_mb`, `gpu`, `failures` (how many
 * first runs fail). `bootedMs` is how long the first boot has been up already.
 */
export function createWorker({
    name,
    address,
    control,
    service,
    zone,
    rack,
    capacity,
    holdMaxMs,
    stopMs,
    bootedMs,
    note,
}) {
    const [ip, port] = address.split(":");
    const beats = new Agent({ keepAlive: true });
    const worker = { name, address, boots: 0, boot: undefined, onCall: undefined, isMuteBeats: false };
    let server;
    let beatTimer;
    const sockets = new Set();

    function createBoot(id, uptimeMs) {
        return {
            id,
            born: Date.now() - uptimeMs,
            startedAt: performance.now() - uptimeMs,
            runs: new Map(),
            closed: new Map(),
            ended: [],
            lastEnd: 0,
            fence: 0,
            leaseEnd: 0,
            lapsedAt: -1,
            seq: 0,
            state: "ready",
            waiting: new Set(),
            endClock: new Map(),
            isUp: true,
        };
    }
    const clockOf = boot => Math.floor(performance.now() - boot.startedAt);

    const workedMs = run => run.resumedMs + Math.max(0, performance.now() - run.workingSince);

    /** The newest checkpoint: one with each `save_ms` of work, and one at a stop. */
    function savedOf(run, isStopped) {
        const { save_ms: saveMs } = run.spec;
        const worked = Math.floor(workedMs(run));
        const saved = isStopped ? worked : worked - (worked % saveMs);
        return saveMs === undefined || saved <= 0 ? "" : saved.toString(16).padStart(16, "0");
    }

    function end(boot, run, how) {
        if (boot.runs.get(run.task) !== run) {
            return;
        }
        boot.runs.delete(run.task);
        clearTimeout(run.timer);
        boot.closed.set(run.task, Math.max(boot.closed.get(run.task) ?? 0, run.run));
        boot.lastEnd += 1;
        boot.ended.push([boot.lastEnd, run.task, run.run, how, savedOf(run, how === "stopped")]);
        boot.endClock.set(boot.lastEnd, clockOf(boot));
        note("end", { worker: name, task: run.task, run: run.run, how });
        for (const wake of [...boot.waiting]) {
            wake();
        }
    }

    function start(boot, body) {
        const { task, run, deadline_ms: deadline = 0 } = body;
        const now = clockOf(boot);
        if (deadline <= now) {
            return [409, { clock_ms: now, reason: "late" }];
        }
        boot.leaseEnd = Math.max(boot.leaseEnd, Math.min(deadline, now + holdMaxMs));
        const known = boot.runs.get(task);
        if (known?.run === run) {
            return [200, { clock_ms: now }];
        }
        if (known || run <= (boot.closed.get(task) ?? 0)) {
            return [409, { clock_ms: now, reason: "old" }];
        }
        const spec = JSON.parse(body.spec);
        const resumedMs = body.saved ? parseInt(body.saved, 16) : 0;
        const workingSince = performance.now() + (body.saved ? RESTORE_MS : 0);
        const started = { task, run, spec, resumedMs, workingSince, timer: undefined, isStopping: false };
        const how = run <= (spec.failures ?? 0) ? "failed" : "done";
        started.timer = setTimeout(
            () => end(boot, started, how),
            Math.max(0, spec.ms - resumedMs) + workingSince - performance.now(),
        );
        boot.runs.set(task, started);
        note("start", { worker: name, task, run, boot: boot.born });
        return [200, { clock_ms: now }];
    }

    function stop(boot, { task, run }) {
        boot.closed.set(task, Math.max(boot.closed.get(task) ?? 0, run));
        const known = boot.runs.get(task);
        if (known?.run === run && !known.isStopping) {
            known.isStopping = true;
            clearTimeout(known.timer);
            known.timer = setTimeout(() => end(boot, known, "stopped"), stopMs);
        }
        return [200, { clock_ms: clockOf(boot) }];
    }

    function lists(boot) {
        const running = [...boot.runs.values()].map(run => {
            const percent = Math.min(99, Math.floor((100 * workedMs(run)) / run.spec.ms));
            // The fifth entry is the processor time in use.
            return [run.task, run.run, savedOf(run, false), percent, run.spec.cpu ?? 0];
        });
        return [
            200,
            { clock_ms: clockOf(boot), born: boot.born, running, ended: boot.ended.slice(0, LISTED_ENDS) },
        ];
    }

    function hold(boot, body, answer) {
        const lastSeen = body.last_seen ?? 0;
        for (const [number, task, run, how] of boot.ended) {
            if (number <= lastSeen) {
                // An end counts as taken note of unless the lease lapsed between the two.
                const hasLapsed = boot.lapsedAt >= boot.endClock.get(number);
                note("noted", { worker: name, task, run, how, hasLapsed });
            }
        }
        boot.ended = boot.ended.filter(row => row[0] > lastSeen);
        if (body.deadline_ms !== undefined) {
            boot.leaseEnd = Math.max(boot.leaseEnd, Math.min(body.deadline_ms, clockOf(boot) + holdMaxMs));
        }
        const waitMs = Math.min(2_000, body.wait_ms ?? 0);
        if (waitMs === 0 || boot.ended.length > 0) {
            answer(...lists(boot));
            return;
        }
        const finish = () => {
            boot.waiting.delete(finish);
            clearTimeout(timer);
            answer(...lists(boot));
        };
        const timer = setTimeout(finish, waitMs);
        boot.waiting.add(finish);
    }

    function execute(path, target, body, answer) {
        const { boot } = worker;
        if (target !== undefined && target !== boot.id) {
            answer(421, {});
            return;
        }
        const fence = body.fencing_token ?? 0;
        if (fence < boot.fence) {
            answer(409, { clock_ms: clockOf(boot), reason: "fence" });
            return;
        }
        boot.fence = fence;
        if (path === "/v1/run-start") {
            answer(...start(boot, body));
        } else if (path === "/v1/run-stop") {
            answer(...stop(boot, body));
        } else if (path === "/v1/hold") {
            hold(boot, body, answer);
        } else {
            answer(404, {});
        }
    }

    function serve(request, response) {
        let text = "";
        request.on("data", chunk => (text += chunk));
        request.on("end", () => {
            const body = JSON.parse(text || "{}");
            const path = request.url;
            const answer = (status, reply) => {
                if (!response.destroyed) {
                    response.writeHead(status, { "content-type": "application/json" });
                    response.end(JSON.stringify(reply));
                }
            };
            if (path !== "/v1/hold") {
                note("call", { worker: name, path, task: body.task, run: body.run });
            }
            const fault = worker.onCall?.(path, body);
            const target = request.headers["x-target-instance"];
            if (fault?.drop) {
                return;
            }
            if (fault?.lateMs !== undefined) {
                setTimeout(() => worker.boot.isUp && execute(path, target, body, () => {}), fault.lateMs);
                return;
            }
            execute(path, target, body, answer);
            fault?.after?.();
        });
    }

    function listen() {
        server = createServer(serve);
        server.on("connection", socket => {
            sockets.add(socket);
            socket.on("close", () => sockets.delete(socket));
        });
        return new Promise((resolve, reject) => {
            server.on("error", reject);
            server.listen(Number(port), ip, resolve);
        });
    }

    function beat() {
        const { boot } = worker;
        boot.seq += 1;
        const body = JSON.stringify({
            service,
            address,
            zone,
            version: "v1",
            slots: 8,
            state: boot.state,
            ...(boot.leavesAt === undefined
                ? {}
                : { remaining_ms: Math.max(0, Math.floor(boot.leavesAt - performance.now())) }),
            cold_remaining_ms: 0,
            born: boot.born,
            capacity,
            labels: ["a", rack],
            clock_ms: clockOf(boot),
            seq: boot.seq,
        });
        const [host, beatPort] = control.split(":");
        const call = sendRequest({
            host,
            port: beatPort,
            method: "POST",
            path: `/v1/Instances.Heartbeat/${boot.id}`,
            headers: { "content-type": "application/json", "content-length": body.length },
            timeout: 1_000,
            agent: beats,
        });
        call.on("response", response => response.resume());
        call.on("timeout", () => call.destroy());
        call.on("error", () => {});
        call.end(body);
    }

    const leaseTimer = setInterval(() => {
        const { boot } = worker;
        if (boot?.isUp && clockOf(boot) > boot.leaseEnd) {
            boot.lapsedAt = clockOf(boot);
            for (const run of [...boot.runs.values()]) {
                end(boot, run, "lapsed");
            }
        }
    }, 20);

    return Object.assign(worker, {
        clock: () => clockOf(worker.boot),
        running: () => [...(worker.boot?.runs.values() ?? [])].map(({ task, run }) => ({ task, run })),
        /** Starts the runner, under `id` if given. */
        async start(id) {
            worker.boots += 1;
            const boot = createBoot(id ?? `i-${name}-${worker.boots}`, worker.boots === 1 ? bootedMs : 0);
            worker.boot = boot;
            await listen();
            note("boot", { worker: name, id: boot.id, born: boot.born, clock: clockOf(boot) });
            beat();
            beatTimer = setInterval(beat, HEARTBEAT_MS);
        },
        /** Gives notice that the runner leaves. */
        drain(remainingMs) {
            worker.boot.state = "draining";
            worker.boot.leavesAt = performance.now() + remainingMs;
            beat();
        },
        /** Ends the runner at once, with all that it runs and knows. */
        crash() {
            const { boot } = worker;
            boot.isUp = false;
            clearInterval(beatTimer);
            for (const run of boot.runs.values()) {
                clearTimeout(run.timer);
                note("lost", { worker: name, task: run.task, run: run.run });
            }
            boot.runs.clear();
            boot.waiting.clear();
            server.close();
            for (const socket of sockets) {
                socket.destroy();
            }
            note("crash", { worker: name, clock: clockOf(boot) });
        },
        close() {
            clearInterval(leaseTimer);
            clearInterval(beatTimer);
            server?.close();
            for (const socket of sockets) {
                socket.destroy();
            }
            beats.destroy();
        },
    });
}
