/* global clearInterval, clearTimeout, performance, setInterval, setTimeout */
// A stand-in of a runner, as PROTOCOL.md describes it, without a guard of its capacity. `jobs` maps the ids of the jobs
// that clients have sent to their bodies, which stand for what a runner learns from the spec.
import http from "node:http";

const HOLD_MAX_MS = 6_000;
const STOP_MS = 200;
const SAVE_MS = 2_000;
const RESTORE_MS = 250;
const GANG_MS = 3_000;
const TICK_MS = 20;
const LISTED_ENDS = 500;
const HEARTBEAT_MS = 1_500;

/** Gangs whose members wait for each other or work together, by job, occurrence, step and run. */
export function createGangs() {
    return new Map();
}

/**
 * `report` receives `{ kind: "start" | "end" | "noted", runner, boot, task, run, ... }`. `fault` may be set to a function that
 * gets each call and returns undefined (serve it), "silent", or `{ lateMs }`: executed after this time and not answered.
 */
export function createRunner(options) {
    const {
        name,
        ip,
        zone,
        rack,
        service,
        jobs,
        gangs,
        report,
        capacity = { cpu: 64_000, mem_mb: 512_000, gpu: 8 },
    } = options;
    const runner = {
        name,
        address: `${ip}:8529`,
        boot: undefined,
        fault: undefined,
        state: "ready",
        remainingMs: undefined,
        isUp: false,
        heartbeats: true,
        /** Whether the percentages of running tasks stand still. */
        isHung: false,
    };
    let boots = 0;
    let server;
    let tick;
    let beatTimer;

    function newBoot(id) {
        return {
            id,
            born: Date.now(),
            startedAt: performance.now(),
            clockStart: 100_000 + Math.floor(Math.random() * 100_000),
            fence: 0,
            leaseEnd: 0,
            runs: new Map(),
            closed: new Map(),
            ended: [],
            nextEnd: 1,
            noted: 0,
            seq: 0,
            waiters: new Set(),
            isDown: false,
        };
    }

    const clockOf = boot => Math.floor(boot.clockStart + performance.now() - boot.startedAt);

    function taskOf(task) {
        const [job, occurrence, step, index] = task.split(".");
        const body = jobs.get(job);
        return {
            job,
            occurrence,
            step: Number(step),
            index: Number(index),
            body,
            needs: body?.steps[Number(step)],
        };
    }

    function fence(boot, token = 0) {
        if (token < boot.fence) {
            return false;
        }
        boot.fence = token;
        return true;
    }

    function extend(boot, deadline) {
        boot.leaseEnd = Math.max(boot.leaseEnd, Math.min(deadline, clockOf(boot) + HOLD_MAX_MS));
    }

    function end(boot, run, how) {
        if (boot.runs.get(run.task) !== run) {
            return;
        }
        boot.runs.delete(run.task);
        boot.closed.set(run.task, Math.max(boot.closed.get(run.task) ?? 0, run.run));
        const number = boot.nextEnd++;
        const row = [number, run.task, run.run, how, run.needs?.checkpointing ? run.saved : ""];
        boot.ended.push(row);
        report({
            kind: "end",
            runner: name,
            boot,
            task: run.task,
            run: run.run,
            how,
            number,
            needs: run.needs,
        });
        if (run.gang) {
            const gang = gangs.get(run.gang);
            gangs.delete(run.gang);
            for (const other of gang?.members ?? []) {
                if (other.run !== run) {
                    end(other.boot, other.run, how === "done" ? "done" : "broken");
                }
            }
        }
        for (const waiter of [...boot.waiters]) {
            waiter();
        }
    }

    function begin(boot, body, isLate) {
        const task = taskOf(body.task);
        const run = {
            task: body.task,
            run: body.run,
            needs: task.needs,
            saved: body.saved ?? "",
            startedAt: performance.now(),
            workFrom: undefined,
            doneMs: body.saved ? Number.parseInt(body.saved, 16) || 0 : 0,
            gang: undefined,
            isStopping: false,
        };
        boot.runs.set(run.task, run);
        report({
            kind: "start",
            runner: name,
            boot,
            task: run.task,
            run: run.run,
            spec: body.spec,
            saved: run.saved,
            body: task.body,
            needs: task.needs,
            isLate,
        });
        const work = () => (run.workFrom = performance.now() + (run.saved ? RESTORE_MS : 0));
        if (!task.needs?.gang) {
            work();
            return;
        }
        run.gang = `${task.job}.${task.occurrence}.${task.step}#${run.run}`;
        const gang = gangs.get(run.gang) ?? { members: [] };
        gangs.set(run.gang, gang);
        gang.members.push({ boot, run, work });
        if (gang.members.length === task.needs.count) {
            for (const member of gang.members) {
                member.work();
            }
        } else {
            setTimeout(() => run.workFrom === undefined && end(boot, run, "alone"), GANG_MS);
        }
    }

    function doneMs(run) {
        return run.doneMs + (run.workFrom === undefined ? 0 : Math.max(0, performance.now() - run.workFrom));
    }

    function percent(run) {
        const length = run.needs?.long_running ? 300 : (run.needs?.real_ms ?? 1_000);
        const share = Math.floor((100 * doneMs(run)) / length);
        return Math.min(run.needs?.long_running ? 100 : 99, share);
    }

    function work(boot) {
        const now = clockOf(boot);
        for (const run of [...boot.runs.values()]) {
            if (now > boot.leaseEnd) {
                end(boot, run, "lapsed");
                continue;
            }
            const done = doneMs(run);
            if (run.needs?.checkpointing && done - (Number.parseInt(run.saved, 16) || 0) >= SAVE_MS) {
                run.saved = Math.floor(done).toString(16).padStart(16, "0");
            }
            if (
                !run.isStopping &&
                run.workFrom !== undefined &&
                !run.needs?.long_running &&
                done >= (run.needs?.real_ms ?? 1_000)
            ) {
                end(boot, run, run.needs?.fails ? "failed" : "done");
            }
        }
    }

    function execute(boot, path, body, answer, isLate) {
        const clock = () => ({ clock_ms: clockOf(boot), born: boot.born });
        const refuse = reason => answer(409, { ...clock(), reason });
        if (path === "/v1/run-start") {
            if (!fence(boot, body.fencing_token)) {
                return refuse("fence");
            }
            if (body.deadline_ms <= clockOf(boot)) {
                return refuse("late");
            }
            extend(boot, body.deadline_ms);
            const current = boot.runs.get(body.task);
            if (current?.run === body.run) {
                return answer(200, clock());
            }
            if (current || body.run <= (boot.closed.get(body.task) ?? 0)) {
                return refuse("old");
            }
            begin(boot, body, isLate);
            return answer(200, clock());
        }
        if (path === "/v1/run-stop") {
            if (!fence(boot, body.fencing_token)) {
                return refuse("fence");
            }
            boot.closed.set(body.task, Math.max(boot.closed.get(body.task) ?? 0, body.run));
            const run = boot.runs.get(body.task);
            if (run?.run === body.run && !run.isStopping) {
                run.isStopping = true;
                setTimeout(() => end(boot, run, "stopped"), STOP_MS);
            }
            return answer(200, clock());
        }
        if (path === "/v1/hold") {
            if (!fence(boot, body.fencing_token)) {
                return refuse("fence");
            }
            const lastSeen = body.last_seen ?? 0;
            for (const [number, task, run, how] of boot.ended) {
                if (number <= lastSeen) {
                    report({ kind: "noted", runner: name, boot, task, run, how, number });
                }
            }
            boot.ended = boot.ended.filter(([number]) => number > lastSeen);
            if (body.deadline_ms !== undefined) {
                extend(boot, body.deadline_ms);
            }
            const reply = () => {
                boot.waiters.delete(reply);
                clearTimeout(timer);
                answer(200, {
                    ...clock(),
                    running: [...boot.runs.values()].map(run => [
                        run.task,
                        run.run,
                        run.saved,
                        percent(run),
                        run.needs?.cpu ?? 0,
                    ]),
                    ended: boot.ended.slice(0, LISTED_ENDS),
                });
            };
            const waitMs = boot.ended.length > 0 ? 0 : Math.min(2_000, body.wait_ms ?? 0);
            const timer = setTimeout(reply, waitMs);
            boot.waiters.add(reply);
            return undefined;
        }
        return answer(404, {});
    }

    function serve(request, response) {
        const boot = runner.boot;
        let text = "";
        request.setEncoding("utf8");
        request.on("data", chunk => (text += chunk));
        request.on("end", () => {
            const body = text === "" ? {} : JSON.parse(text);
            const path = request.url;
            const target = request.headers["x-target-instance"];
            const answer = (status, reply) => {
                if (!response.destroyed && !boot.isDown) {
                    response.writeHead(status, {
                        "content-type": "application/json",
                        "x-instance-id": boot.id,
                    });
                    response.end(JSON.stringify(reply));
                }
            };
            const fault = runner.fault?.({ path, body, target });
            if (fault === "silent") {
                return;
            }
            const run = isLate => {
                const present = runner.boot;
                if (!present || present.isDown) {
                    return;
                }
                if (target !== undefined && target !== present.id) {
                    answer(421, {});
                } else if (present === boot || isLate) {
                    execute(present, path, body, isLate ? () => {} : answer, isLate);
                }
            };
            if (fault?.lateMs) {
                setTimeout(() => run(true), fault.lateMs);
            } else if (fault?.lost) {
                // Executed at once and not answered.
                execute(boot, path, body, () => {}, false);
            } else {
                run(false);
            }
        });
    }

    function beat() {
        clearTimeout(beatTimer);
        const boot = runner.boot;
        if (!boot || boot.isDown) {
            return;
        }
        beatTimer = setTimeout(beat, HEARTBEAT_MS);
        if (!runner.heartbeats) {
            return;
        }
        boot.seq += 1;
        const body = JSON.stringify({
            service,
            address: runner.address,
            zone,
            version: "v1",
            slots: 8,
            state: runner.state,
            ...(runner.remainingMs === undefined ? {} : { remaining_ms: runner.remainingMs }),
            cold_remaining_ms: 0,
            born: boot.born,
            capacity,
            labels: ["a", rack],
            machine: `m-${name}`,
            clock_ms: clockOf(boot),
            seq: boot.seq,
        });
        send(`/v1/Instances.Heartbeat/${boot.id}`, body, status => {
            if (status === 200 && runner.state === "draining") {
                report({ kind: "drain-acknowledged", runner: name, boot });
            }
        });
    }

    function send(path, body, done) {
        const request = http.request(
            {
                host: ip,
                port: 8526,
                method: "POST",
                path,
                agent: false,
                timeout: 1_000,
                headers: { "content-type": "application/json" },
            },
            response => {
                response.resume();
                done(response.statusCode);
            },
        );
        request.on("error", () => done("none"));
        request.on("timeout", () => request.destroy());
        request.end(body);
    }

    return Object.assign(runner, {
        /** Starts a boot; an `id` of a former boot is used again. */
        async start(id = `i-${name}-${boots}`) {
            boots += 1;
            runner.boot = newBoot(id);
            runner.state = "ready";
            runner.remainingMs = undefined;
            runner.isUp = true;
            server = http.createServer(serve);
            server.keepAliveTimeout = 60_000;
            server.on("connection", socket => socket.on("error", () => {}));
            await new Promise(resolve => server.listen(8529, ip, resolve));
            tick = setInterval(() => work(runner.boot), TICK_MS);
            beat();
        },
        /** The runner crashes: all that runs on it ends, and it says nothing. */
        crash() {
            const boot = runner.boot;
            if (!boot || boot.isDown) {
                return;
            }
            boot.isDown = true;
            runner.isUp = false;
            clearInterval(tick);
            clearTimeout(beatTimer);
            for (const run of [...boot.runs.values()]) {
                boot.runs.delete(run.task);
                report({
                    kind: "end",
                    runner: name,
                    boot,
                    task: run.task,
                    run: run.run,
                    how: "crashed",
                    needs: run.needs,
                });
                if (run.gang) {
                    const gang = gangs.get(run.gang);
                    gangs.delete(run.gang);
                    for (const other of gang?.members ?? []) {
                        if (other.run !== run) {
                            end(other.boot, other.run, "broken");
                        }
                    }
                }
            }
            server.close();
            server.closeAllConnections();
        },
        drain(remainingMs) {
            runner.state = "draining";
            runner.remainingMs = remainingMs;
            beat();
        },
        beat,
        leave() {
            send(
                `/v1/Instances.Leave/${runner.boot.id}`,
                JSON.stringify({ born: runner.boot.born }),
                () => {},
            );
        },
        clock: () => clockOf(runner.boot),
    });
}
