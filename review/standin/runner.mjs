// A stand-in for a runner (PROTOCOL.md, "Running work units" and "Service discovery"), with its `app` address.
import { Buffer } from "node:buffer";
import { createServer, request as httpRequest } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { performance } from "node:perf_hooks";

const TICK_MS = 20;
const PING_TIMEOUT_MS = 1_000;
const PING_RETRY_MS = 300;

/**
 * Creates a runner. `spec` of a work unit is JSON: `ms` of work, `lasting` if it runs until it is stopped, and `failRuns`,
 * the numbers of the runs that end as failed after `failMs`. `report` receives what begins and ends.
 */
export function createRunner(options) {
    const { name, app, control, service, zone, labels, capacity, heartbeatMs, holdMaxMs, stopMs } = options;
    const { report, firstId, machine } = options;
    let boots = 0;
    let boot;
    let server;

    function newBoot(id) {
        boots += 1;
        return {
            id: id ?? `${firstId}${boots}`,
            born: Date.now(),
            clockStart: 1_000 * boots + 137,
            startedAt: performance.now(),
            seq: 0,
            fence: 0,
            leaseEnd: 0,
            runs: new Map(),
            closed: new Map(),
            ended: [],
            nextEnd: 1,
            waiters: new Set(),
            state: "ready",
            timers: new Set(),
            isDown: false,
        };
    }

    const clockOf = b => Math.floor(b.clockStart + performance.now() - b.startedAt);

    function after(b, ms, work) {
        const timer = setTimeout(() => {
            b.timers.delete(timer);
            if (!b.isDown) {
                work();
            }
        }, ms);
        b.timers.add(timer);
        return timer;
    }

    function endRun(b, run, how) {
        if (b.runs.get(run.task) !== run) {
            return;
        }
        b.runs.delete(run.task);
        b.closed.set(run.task, Math.max(b.closed.get(run.task) ?? 0, run.run));
        b.ended.push([b.nextEnd++, run.task, run.run, how, ""]);
        report({ kind: "end", runner: name, id: b.id, task: run.task, run: run.run, how });
        for (const wake of [...b.waiters]) {
            wake();
        }
    }

    function percentOf(run) {
        if (run.work.lasting) {
            return 100;
        }
        return Math.min(99, Math.floor((100 * (performance.now() - run.at)) / run.work.ms));
    }

    function tick(b) {
        for (const run of [...b.runs.values()]) {
            const workedMs = performance.now() - run.at;
            if (clockOf(b) > b.leaseEnd) {
                endRun(b, run, "lapsed");
            } else if (!run.isStopping && run.work.failRuns?.includes(run.run)) {
                if (workedMs >= (run.work.failMs ?? 500)) {
                    endRun(b, run, "failed");
                }
            } else if (!run.isStopping && !run.work.lasting && workedMs >= run.work.ms) {
                endRun(b, run, "done");
            }
        }
        after(b, TICK_MS, () => tick(b));
    }

    function extendLease(b, deadlineMs) {
        if (deadlineMs !== undefined) {
            b.leaseEnd = Math.max(b.leaseEnd, Math.min(deadlineMs, clockOf(b) + holdMaxMs));
        }
    }

    /** Carries an order out and returns the status and the body of the answer. */
    function carryOut(b, path, body, targetId) {
        if (targetId !== undefined && targetId !== b.id) {
            return [421, {}];
        }
        const fence = body.fencing_token ?? 0;
        const answer = (status, more = {}) => [status, { clock_ms: clockOf(b), born: b.born, ...more }];
        if (fence < b.fence) {
            return answer(409, { reason: "fence" });
        }
        b.fence = fence;
        if (path === "/v1/run-stop") {
            b.closed.set(body.task, Math.max(b.closed.get(body.task) ?? 0, body.run));
            const run = b.runs.get(body.task);
            if (run?.run === body.run && !run.isStopping) {
                run.isStopping = true;
                after(b, stopMs, () => endRun(b, run, "stopped"));
            }
            return answer(200);
        }
        if (path === "/v1/run-start") {
            return start(b, body, answer);
        }
        return answer(404);
    }

    function start(b, body, answer) {
        if (body.deadline_ms <= clockOf(b)) {
            return answer(409, { reason: "late" });
        }
        extendLease(b, body.deadline_ms);
        const current = b.runs.get(body.task);
        if (current?.run === body.run) {
            return answer(200);
        }
        if (current || body.run <= (b.closed.get(body.task) ?? 0)) {
            return answer(409, { reason: "old" });
        }
        const run = {
            task: body.task,
            run: body.run,
            work: JSON.parse(body.spec),
            at: performance.now(),
            isStopping: false,
        };
        b.runs.set(body.task, run);
        report({ kind: "start", runner: name, id: b.id, task: run.task, run: run.run });
        return answer(200);
    }

    function hold(b, body, targetId, send) {
        if (targetId !== undefined && targetId !== b.id) {
            send(421, {});
            return;
        }
        if ((body.fencing_token ?? 0) < b.fence) {
            send(409, { clock_ms: clockOf(b), born: b.born, reason: "fence" });
            return;
        }
        b.fence = body.fencing_token ?? 0;
        extendLease(b, body.deadline_ms);
        for (const [number, task, run, how] of b.ended) {
            if (number <= body.last_seen) {
                report({ kind: "noted", runner: name, id: b.id, task, run, how });
            }
        }
        b.ended = b.ended.filter(([number]) => number > body.last_seen);
        const finish = () => {
            clearTimeout(timer);
            b.waiters.delete(finish);
            send(200, {
                clock_ms: clockOf(b),
                born: b.born,
                running: [...b.runs.values()].map(run => [run.task, run.run, "", percentOf(run), 0]),
                ended: b.ended.slice(0, 500),
            });
        };
        const timer = setTimeout(finish, Math.min(2_000, body.wait_ms ?? 0));
        if (b.ended.length > 0) {
            finish();
            return;
        }
        b.waiters.add(finish);
    }

    function serve(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const b = boot;
            if (!b || b.isDown) {
                request.socket.destroy();
                return;
            }
            const send = (status, body) => {
                if (!response.writableEnded && !b.isDown) {
                    response.writeHead(status, { "content-type": "application/json" });
                    response.end(JSON.stringify(body));
                }
            };
            const body = JSON.parse(Buffer.concat(chunks).toString("utf8"));
            const targetId = request.headers["x-target-instance"];
            if (request.url === "/v1/hold") {
                hold(b, body, targetId, send);
                return;
            }
            send(...carryOut(b, request.url, body, targetId));
        });
    }

    function pingOf(b) {
        return {
            service,
            address: app,
            zone,
            version: "v1",
            slots: 8,
            state: b.state,
            cold_remaining_ms: 0,
            capacity,
            labels,
            machine,
            clock_ms: clockOf(b),
            seq: ++b.seq,
            born: b.born,
        };
    }

    async function ping(b) {
        const status = await post(control, `/v1/Instances.Heartbeat/${b.id}`, pingOf(b));
        after(b, status === 200 ? heartbeatMs : PING_RETRY_MS, () => void ping(b));
    }

    async function startBoot(id) {
        boot = newBoot(id);
        server = createServer(serve);
        const [ip, port] = app.split(":");
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(Number(port), ip, resolve);
        });
        report({ kind: "boot", runner: name, id: boot.id, born: boot.born });
        tick(boot);
        void ping(boot);
    }

    return {
        name,
        current: () => boot,
        /** Starts the runner, under a new id or under the given one. */
        boot: startBoot,
        /** Says in the next pings that it drains, with the least time that is left. */
        async drain() {
            const b = boot;
            b.state = "draining";
            const status = await post(control, `/v1/Instances.Heartbeat/${b.id}`, pingOf(b));
            report({ kind: "draining", runner: name, id: b.id, status });
        },
        /** The body of the message that it leaves. */
        leaveBody: () => ({ ...pingOf(boot), state: "draining" }),
        /** Ends as a crash does: all runs are gone, and nothing is sent. */
        crash() {
            const b = boot;
            b.isDown = true;
            for (const timer of b.timers) {
                clearTimeout(timer);
            }
            for (const run of b.runs.values()) {
                report({ kind: "end", runner: name, id: b.id, task: run.task, run: run.run, how: "crash" });
            }
            b.runs.clear();
            report({ kind: "crash", runner: name, id: b.id });
            server.close();
            server.closeAllConnections();
        },
        /** Names of the work units that run. */
        running: () => [...boot.runs.keys()],
    };
}

/** Posts JSON and resolves with the status; 0 if there was no answer in time. */
export function post(address, path, body, headers = {}, timeoutMs = PING_TIMEOUT_MS) {
    return new Promise(resolve => {
        const [host, port] = address.split(":");
        const text = typeof body === "string" ? body : JSON.stringify(body);
        const request = httpRequest(
            {
                host,
                port,
                path,
                method: "POST",
                agent: false,
                headers: { "content-type": "application/json", ...headers },
                timeout: timeoutMs,
            },
            response => {
                response.resume();
                response.on("end", () => resolve(response.statusCode));
                response.on("error", () => resolve(0));
            },
        );
        request.on("timeout", () => request.destroy());
        request.on("error", () => resolve(0));
        request.end(text);
    });
}
