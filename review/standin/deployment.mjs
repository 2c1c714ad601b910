// A small deployment on loopback addresses: the project's own programs as processes, and stand-ins for the rest.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { connect, createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { performance } from "node:perf_hooks";
import { clearTimeout, setTimeout } from "node:timers";
import { fileURLToPath } from "node:url";
import { createRunner } from "./runner.mjs";
import { startStore } from "./store.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");
const METRICS_PORT = 9464;
/** The longest time that a script may take, with its clean-up. */
const LIMIT_MS = 115_000;

/** Figures of the deployment, as the sheet of okasplit gives them. */
export const BOUNDS = {
    contact_ms: 4_000,
    cancel_ms: 3_000,
    drain_ms: 2_500,
    grace_s: 6,
    hold_max_ms: 6_000,
    stop_ms: 900,
    finish_s: 14,
    status_s: 120,
    far_x: 3,
};
export const HEARTBEAT_MS = 1_500;
export const CAPACITY = { cpu: 64_000, mem_mb: 131_072, gpu: 8 };
export const SERVICE = "desk-7";
export const HOST = "desk.example";

export const pause = ms => new Promise(done => setTimeout(done, ms));

/** Finds ports that are free on loopback now. */
async function freePorts(count) {
    const servers = [];
    const ports = [];
    for (let number = 0; number < count; number++) {
        const server = createServer();
        await new Promise(done => server.listen(0, "127.0.0.1", done));
        servers.push(server);
        ports.push(server.address().port);
    }
    await Promise.all(servers.map(server => new Promise(done => server.close(done))));
    return ports;
}

/** Finds a network 127.X.Y.0 of which no address has a listener on the port of the metrics. */
async function freeNetwork(hosts) {
    for (let attempt = 0; attempt < 50; attempt++) {
        const part = () => 1 + Math.floor(Math.random() * 250);
        const network = `127.${part()}.${part()}`;
        const results = await Promise.all(hosts.map(host => canListen(`${network}.${host}`, METRICS_PORT)));
        if (results.every(Boolean)) {
            return network;
        }
    }
    throw new Error("no free loopback network");
}

function canListen(ip, port) {
    return new Promise(done => {
        const server = createServer();
        server.once("error", () => done(false));
        server.listen(port, ip, () => server.close(() => done(true)));
    });
}

/** The commands of deploy/system.toml, by role. */
function readCommands() {
    const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    const commands = {};
    for (const [, role, body] of text.matchAll(/\[roles\.([\w-]+)\]([^[]*)/g)) {
        commands[role] = /run\s*=\s*"([^"]*)"/.exec(body)[1].split(" ");
    }
    return commands;
}

/** Fills in deploy/settings.json; only placeholders of the form {{a.b|json}} occur in it. */
function fillTemplate(settings) {
    const template = readFileSync(join(ROOT, "deploy/settings.json"), "utf8");
    return template.replace(/\{\{([\w.]+)\|json\}\}/g, (_all, path) => {
        let value = settings;
        for (const part of path.split(".")) {
            value = value?.[part];
        }
        return value === undefined ? "null" : JSON.stringify(value);
    });
}

/**
 * Runs one case. `play` gets the deployment, with the trouble unless TROUBLE=0, and returns the sentences that say how the
 * rule was broken. Exits with 1 if there are any, with 0 if there are none, and with 2 if the case could not run.
 */
export async function runCase({ folder, entries = 2, runners, play }) {
    const hasTrouble = process.env.TROUBLE !== "0";
    const recordFile = join(folder, "record.txt");
    const startedAt = performance.now();
    const children = new Set();
    const temporary = mkdtempSync(join(tmpdir(), "review-"));
    let isEnding = false;
    mkdirSync(folder, { recursive: true });
    writeFileSync(recordFile, "");

    const now = () => Math.round(performance.now() - startedAt);
    const record = text => {
        appendFileSync(recordFile, `${(now() / 1_000).toFixed(3).padStart(8)} s  ${text}\n`);
    };
    const end = async code => {
        if (isEnding) {
            return;
        }
        isEnding = true;
        await Promise.all([...children].map(child => child.end()));
        if (process.env.KEEP_LOGS === "1") {
            console.log(`logs: ${temporary}`);
        } else {
            rmSync(temporary, { recursive: true, force: true });
        }
        process.exit(code);
    };
    const limit = setTimeout(() => {
        record("the case took too long");
        void end(2);
    }, LIMIT_MS);
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.on(signal, () => void end(2));
    }
    process.on("uncaughtException", error => {
        record(`the case could not run: ${error.stack ?? error}`);
        console.error(error);
        void end(2);
    });

    let broken;
    try {
        const parts = { record, now, children, temporary };
        const deployment = await startDeployment({ ...parts, entryCount: entries, runnerOptions: runners });
        record(`the deployment is up; the disruption is ${hasTrouble ? "on" : "off"}`);
        broken = await play(deployment, hasTrouble);
    } catch (error) {
        record(`the case could not run: ${error.stack ?? error}`);
        console.error(error);
        clearTimeout(limit);
        await end(2);
        return;
    }
    for (const sentence of broken) {
        record(`BROKEN: ${sentence}`);
        console.log(`broken: ${sentence}`);
    }
    record(broken.length > 0 ? "the rule was broken" : "the rule held");
    console.log(broken.length > 0 ? "the rule was broken" : "the rule held");
    clearTimeout(limit);
    await end(broken.length > 0 ? 1 : 0);
}

async function startDeployment({ record, now, children, temporary, entryCount, runnerOptions }) {
    const commands = readCommands();
    const entryHosts = Array.from({ length: entryCount }, (_, index) => 10 + index);
    const runnerHosts = runnerOptions.map((_, index) => 100 + index);
    const network = await freeNetwork([...entryHosts, ...runnerHosts]);
    const [front, ready, control, peer, app, storePort] = await freePorts(6);
    const store = await startStore({
        ip: `${network}.1`,
        port: storePort,
        onRefused: ({ keys }) => record(`the store refuses a transaction: ${JSON.stringify(keys)}`),
    });
    const events = [];
    const listeners = new Set();
    const report = event => {
        const dated = { ...event, at: now() };
        events.push(dated);
        record(`runner: ${JSON.stringify(event)}`);
        for (const listener of [...listeners]) {
            listener(dated);
        }
    };

    function startProcess(role, node, ip, extra) {
        const settings = {
            node,
            zone: "yard-1",
            ip,
            port_range: [peer, peer + 1],
            seeds: [],
            platform: { address: store.address },
            bounds: BOUNDS,
            limits: { cpu_share: 0.675, cores: 1 },
            ...extra,
        };
        const settingsFile = join(temporary, `${node}.json`);
        writeFileSync(settingsFile, fillTemplate(settings));
        const logFile = join(temporary, `${node}.log`);
        const [program, ...words] = commands[role];
        const handle = { node, ip, child: undefined, isUp: false, isRestarting: false };
        const start = () => {
            const child = spawn(program === "node" ? process.execPath : program, words, {
                cwd: ROOT,
                env: {
                    PATH: process.env.PATH,
                    HOME: process.env.HOME ?? "",
                    TANAGERDECK_NODE_FILE: settingsFile,
                },
                stdio: ["ignore", "pipe", "pipe"],
            });
            handle.child = child;
            handle.isUp = true;
            handle.exited = new Promise(done => {
                child.once("exit", (code, signal) => {
                    handle.isUp = false;
                    record(`process ${node} ended: ${signal ?? code}`);
                    done();
                });
            });
            for (const stream of [child.stdout, child.stderr]) {
                stream.on("data", chunk => appendFileSync(logFile, chunk));
            }
            record(`process ${node} started`);
        };
        handle.start = start;
        handle.kill = signal => {
            record(`${signal} to ${node}`);
            handle.child.kill(signal);
        };
        handle.end = async () => {
            if (handle.isUp) {
                handle.child.kill("SIGKILL");
                await handle.exited;
            }
        };
        handle.log = () => readFileSync(logFile, "utf8");
        children.add(handle);
        start();
        return handle;
    }

    const fronts = entryHosts.map((host, index) => {
        const ip = `${network}.${host}`;
        const listen = { front: `${ip}:${front}`, ready: `${ip}:${ready}` };
        const handle = startProcess("entry", `front-${index + 1}`, ip, { listen });
        return Object.assign(handle, listen);
    });
    const runners = [];
    for (const [index, own] of runnerOptions.entries()) {
        const ip = `${network}.${runnerHosts[index]}`;
        const name = `side-${index + 1}`;
        const runner = createRunner({
            name,
            app: `${ip}:${app}`,
            control: `${ip}:${control}`,
            service: SERVICE,
            zone: "yard-1",
            labels: ["a", own.rack ?? "r1-1"],
            capacity: CAPACITY,
            heartbeatMs: HEARTBEAT_MS,
            holdMaxMs: BOUNDS.hold_max_ms,
            stopMs: BOUNDS.stop_ms,
            firstId: `i-${index + 1}0${Math.floor(Math.random() * 1e6).toString(16)}`,
            machine: `m-${index + 1}`,
            report,
        });
        const agent = startProcess("agent", name, ip, {
            listen: { control: `${ip}:${control}` },
            app: `${ip}:${app}`,
        });
        await runner.boot();
        runners.push(Object.assign(runner, { agent, control: `${ip}:${control}`, app: `${ip}:${app}`, ip }));
    }

    const deployment = {
        network,
        store,
        fronts,
        runners,
        events,
        record,
        now,
        onEvent(listener) {
            listeners.add(listener);
        },
        writeManifest(manifest) {
            store.write("op/config", manifest);
            record(`operator: the manifest ${manifest.version} is acknowledged`);
        },
        /** Calls the front as a client; resolves with status and body, status 0 without an answer. */
        call(method, path, body, { key, frontNumber = 0, waitMs = 3_000 } = {}) {
            return callFront(fronts[frontNumber % fronts.length].front, method, path, body, { key, waitMs });
        },
        /** Hands a job in as a client does, with retries at the other daemons; resolves with the last status. */
        async submit(queue, id, job, key) {
            let status = 0;
            for (let attempt = 0; attempt < 5 && status !== 200; attempt++) {
                record(`client: POST ${queue.prefix}${id}`);
                const reply = await deployment.call("POST", queue.prefix + id, job, {
                    key,
                    frontNumber: attempt,
                });
                status = reply.status;
                record(`client: POST ${queue.prefix}${id} is answered ${status}`);
                if (status !== 200) {
                    await pause(500);
                }
            }
            return status;
        },
        /** The state of a job as the fronts show it. */
        async state(queue, id, key, frontNumber = 0) {
            const reply = await deployment.call("GET", queue.prefix + id, undefined, { key, frontNumber });
            const state = reply.status === 200 ? reply.body.state : `status ${reply.status}`;
            record(`client: GET ${queue.prefix}${id} shows ${state}`);
            return state;
        },
        async waitFor(what, check, waitMs) {
            const until = now() + waitMs;
            while (now() < until) {
                if (await check()) {
                    return true;
                }
                await pause(100);
            }
            record(`not within ${waitMs} ms: ${what}`);
            return false;
        },
    };
    return deployment;
}

function callFront(address, method, path, body, { key, waitMs }) {
    return new Promise(done => {
        const [host, port] = address.split(":");
        const request = httpRequest(
            {
                host,
                port,
                path,
                method,
                agent: false,
                timeout: waitMs,
                headers: {
                    host: HOST,
                    "content-type": "application/json",
                    "x-deadline": String(waitMs),
                    ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
                },
            },
            response => {
                let text = "";
                response.on("data", chunk => (text += chunk));
                response.on("error", () => done({ status: 0 }));
                response.on("end", () => {
                    try {
                        done({ status: response.statusCode, body: JSON.parse(text) });
                    } catch {
                        done({ status: 0 });
                    }
                });
            },
        );
        request.on("timeout", () => request.destroy());
        request.on("error", () => done({ status: 0 }));
        request.end(body === undefined ? "" : JSON.stringify(body));
    });
}

/** A proxy to `target` that holds up what it gets until it is released; it answers nothing before. */
export async function startHoldingProxy(ip, target) {
    const [host, port] = target.split(":");
    const held = [];
    const server = createServer(socket => {
        const chunks = [];
        let upstream;
        socket.on("data", chunk => (upstream ? upstream.write(chunk) : chunks.push(chunk)));
        // The bytes stay on their way after the sender has ended.
        socket.on("error", () => {});
        held.push(() => {
            upstream = connect(Number(port), host);
            upstream.on("error", () => {});
            for (const chunk of chunks) {
                upstream.write(chunk);
            }
            upstream.on("data", chunk => {
                if (!socket.destroyed) {
                    socket.write(chunk);
                }
            });
        });
    });
    await new Promise(done => server.listen(0, ip, done));
    return {
        address: `${ip}:${server.address().port}`,
        release() {
            for (const forward of held.splice(0)) {
                forward();
            }
        },
        close: () => server.close(),
    };
}

/** Three queues and two tenants; `guaranteed` is given as the pages' manifest gives it. */
export const QUEUES = {
    urgent: { name: "urgent", prefix: "/urgent/", priority: 0 },
    normal: { name: "normal", prefix: "/normal/", priority: 1 },
    batch: { name: "batch", prefix: "/batch/", priority: 2 },
};

export function manifestOf(version) {
    return {
        version,
        routes: Object.values(QUEUES).map(({ name, prefix, priority }) => ({
            name,
            host: HOST,
            prefix,
            service: SERVICE,
            priority,
            attempts: 4,
            stretch: 3,
            slo_ms: 3_000,
        })),
        services: [{ name: SERVICE, enforces_capacity: false }],
        limits: { max_body_bytes: 262_144 },
        tenants: [
            { name: "yard", api_keys: ["key-yard"], guaranteed: { gpu: 0 } },
            { name: "counter", api_keys: ["key-counter"], guaranteed: { gpu: 0 } },
        ],
    };
}

/** A random job id as clients choose it. */
export function newJobId() {
    return Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");
}

/** Waits until the deployment serves: a small job of one work unit is completed. */
export async function waitUntilServing(deployment) {
    deployment.writeManifest(manifestOf(3));
    const isReady = await deployment.waitFor(
        "a front takes calls",
        async () => (await deployment.call("GET", "/batch/", undefined, { key: "key-yard" })).status === 200,
        15_000,
    );
    if (!isReady) {
        throw new Error("no front takes calls");
    }
    const id = newJobId();
    const job = { spec: JSON.stringify({ ms: 200 }), steps: [{ count: 1, cpu: 1_000, estimate_ms: 200 }] };
    await deployment.submit(QUEUES.batch, id, job, "key-yard");
    const isDone = await deployment.waitFor(
        "the first job is completed",
        async () => (await deployment.state(QUEUES.batch, id, "key-yard")) === "completed",
        15_000,
    );
    if (!isDone) {
        throw new Error("the first job is not completed");
    }
}

/** Rule TWICE: finds runs of one work unit that go on at the same time, on runners that are up. */
export function findTwice(events) {
    const live = new Map();
    const broken = [];
    for (const { kind, runner, task, run, at } of events) {
        const runs = live.get(task) ?? new Map();
        if (kind === "start") {
            for (const [key, since] of runs) {
                broken.push(
                    `TWICE: work unit ${task} is started as run ${run} on ${runner} at ${at} ms, ` +
                        `while ${key} goes on since ${since} ms`,
                );
            }
            live.set(task, runs.set(`run ${run} on ${runner}`, at));
        } else if (kind === "end") {
            runs.delete(`run ${run} on ${runner}`);
        }
    }
    return broken;
}
