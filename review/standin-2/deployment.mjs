// Starts a small deployment on loopback addresses: the store and the runners in this process, entries and agents as the
// deploy file starts them. Writes what was sent, answered and run to `record.txt`.
import { spawn } from "node:child_process";
import { createServer, connect } from "node:net";
import { request as sendRequest } from "node:http";
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout } from "node:timers";
import { startStore } from "./store.mjs";
import { createWorker } from "./worker.mjs";

export const SERVICE = "desk";
export const HOST = "desk.example";
export const QUEUES = ["urgent", "normal", "batch"];
const ATTEMPTS = 4;
/** `save_s` of the site ckw-deck. */
const SAVE_MS = 2_000;
/** Longer bodies are recorded by their length only. */
const SHOWN_BODY = 1_000;
/** Lines of the programs' logs that the record shows: warnings and errors, and those about runs and workers. */
const SHOWN_LOG =
    /"level":[4-6]0|"msg":"(agent: A new boot|agent: A stopped|leadership|planner: A job|planner: A group is pre)/;

/** Bounds of the site okasplit. */
export const BOUNDS = {
    hold_max_ms: 6_000,
    stop_ms: 900,
    cancel_ms: 3_000,
    visible_ms: 3_000,
    finish_s: 14,
    grace_s: 6,
    contact_ms: 4_000,
};

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));
export const isTroubled = process.env.TROUBLE !== "0";

/** Finds loopback addresses whose ports are free. */
async function findNetwork() {
    for (let attempt = 0; attempt < 50; attempt++) {
        const network = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        if ((await isFree(`${network}.10`, 7000)) && (await isFree(`${network}.100`, 7000))) {
            return network;
        }
    }
    throw new Error("no free loopback network");
}

function isFree(ip, port) {
    return new Promise(resolve => {
        const probe = createServer();
        probe.on("error", () => resolve(false));
        probe.listen(port, ip, () => probe.close(() => resolve(true)));
    });
}

/** A TCP proxy; `setMode` takes "pass", "reset" (closes and refuses) or "silent" (forwards nothing, keeps connections). */
export function startProxy(ip, targetOf) {
    const pairs = new Set();
    let mode = "pass";
    const server = createServer(near => {
        if (mode === "reset") {
            near.destroy();
            return;
        }
        const [host, port] = targetOf().split(":");
        const far = connect(Number(port), host);
        const pair = { near, far };
        pairs.add(pair);
        const forward = (from, to) =>
            from.on("data", data => {
                if (mode !== "silent" && !pair.isDead) {
                    to.write(data);
                } else {
                    pair.isDead = true;
                }
            });
        forward(near, far);
        forward(far, near);
        for (const [one, other] of [
            [near, far],
            [far, near],
        ]) {
            one.on("error", () => {});
            one.on("close", () => {
                pairs.delete(pair);
                other.destroy();
            });
        }
    });
    return new Promise(resolve => {
        server.listen(0, ip, () =>
            resolve({
                address: `${ip}:${server.address().port}`,
                setMode(next) {
                    mode = next;
                    if (next === "reset") {
                        for (const { near, far } of pairs) {
                            near.destroy();
                            far.destroy();
                        }
                    }
                },
                close() {
                    server.close();
                    for (const { near, far } of pairs) {
                        near.destroy();
                        far.destroy();
                    }
                },
            }),
        );
    });
}

/**
 * Runs a case: `play(deployment)` returns what breaks the rule, as a list of texts. Exits with 1 if there is one, with 0 if
 * there is none and with 2 if the case could not run.
 */
export async function runCase(recordPath, options, play) {
    const record = createWriteStream(recordPath);
    const began = Date.now();
    const events = [];
    const note = (kind, fields = {}) => {
        const event = { at: Date.now() - began, kind, ...fields };
        events.push(event);
        record.write(`${(event.at / 1_000).toFixed(3).padStart(8)} ${kind} ${JSON.stringify(fields)}\n`);
    };
    let status = 2;
    let deployment;
    // A fault of the stand-ins isn't one of the programs.
    process.on("uncaughtException", error => {
        console.error(error);
        process.exit(2);
    });
    try {
        note("case", { trouble: isTroubled });
        deployment = await startDeployment(options, note, events);
        const broken = await play(deployment);
        for (const text of broken) {
            note("broken", { text });
        }
        status = broken.length > 0 ? 1 : 0;
    } catch (error) {
        note("could-not-run", { error: String(error?.stack ?? error) });
    }
    await deployment?.stop();
    note("result", { status });
    await new Promise(resolve => record.end(resolve));
    process.exit(status);
}

async function startDeployment(options, note, events) {
    const { entries: entryCount = 2, workers: workerCount = 2, perRack = 3, bootedMs = 600_000 } = options;
    const { capacity = { cpu: 64_000, mem_mb: 131_072, gpu: 8 }, stopMs = BOUNDS.stop_ms } = options;
    const tenants = options.tenants ?? [{ name: "t1", api_keys: ["key-t1"], guaranteed: { gpu: 16 } }];
    const network = await findNetwork();
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const store = await startStore(`${network}.1`);
    const running = new Set();
    // Also if this process fails, none of those that it started stays behind.
    process.on("exit", () => {
        for (const child of running) {
            child.kill("SIGKILL");
        }
    });
    const seeds = Array.from({ length: entryCount }, (_, index) => `${network}.${10 + index}:8526`);
    let version = 0;

    function writeManifest(change = {}) {
        version += 1;
        const manifest = {
            version,
            routes: QUEUES.map((name, priority) => ({
                name,
                host: HOST,
                prefix: `/${name}/`,
                kind: "unsafe",
                timeout_ms: 3_000,
                slo_ms: 1_000,
                priority,
                service: SERVICE,
                attempts: ATTEMPTS,
                stretch: 3,
                public: false,
            })),
            services: [{ name: SERVICE, enforces_capacity: false }],
            limits: { max_body_bytes: 262_144 },
            tenants,
            ...change,
        };
        store.put("op/config", JSON.stringify(manifest));
        note("manifest", { version });
    }
    writeManifest();

    async function startProcess(role, name, ip, extra, previous) {
        const proxy = previous?.proxy ?? (await startProxy(`${network}.1`, () => store.address));
        const path = join(folder, `${name}.json`);
        const settings = {
            name,
            availabilityZone: "z1",
            ip,
            peerPort: 7000,
            metricsPort: 9464,
            seeds,
            storeAddress: proxy.address,
            longestHoldMs: BOUNDS.hold_max_ms,
            keepJobsSeconds: 120,
            graceSeconds: BOUNDS.grace_s,
            ...extra,
        };
        writeFileSync(path, JSON.stringify(settings));
        const heap = role === "platform-entry" ? 160 : 96;
        const program = ["target/tanagerdeck.cjs", role, path];
        const child = spawn(process.execPath, [`--max-old-space-size=${heap}`, ...program]);
        running.add(child);
        const started = { name, ip, proxy, child, role, extra, path, settings, isUp: true, exit: undefined };
        child.stderr.on("data", data => note("stderr", { process: name, text: String(data) }));
        child.on("exit", (code, signal) => {
            running.delete(child);
            started.isUp = false;
            started.exit = { code, signal };
            note("exit", { process: name, code, signal });
        });
        await new Promise((resolve, reject) => {
            let rest = "";
            child.stdout.on("data", data => {
                rest += data;
                const lines = rest.split("\n");
                rest = lines.pop();
                for (const line of lines) {
                    if (line.includes('"ready":true')) {
                        resolve();
                    } else if (SHOWN_LOG.test(line)) {
                        note("log", { process: name, line });
                    }
                }
            });
            child.on("exit", () => reject(new Error(`${name} ended at its start`)));
        });
        note("ready", { process: name });
        return started;
    }

    const entries = [];
    for (let index = 0; index < entryCount; index++) {
        const ip = `${network}.${10 + index}`;
        const extra = { callerAddress: `${ip}:8521`, readyAddress: `${ip}:8523`, farFactor: 3 };
        entries.push(await startProcess("platform-entry", `entry-${index + 1}`, ip, extra));
    }
    const workers = [];
    const agents = [];
    for (let index = 0; index < workerCount; index++) {
        const ip = `${network}.${100 + index}`;
        const control = `${ip}:8526`;
        const address = `${ip}:8529`;
        const name = `agent-${index + 1}`;
        const extra = { registrationAddress: control, workerAddress: address, workerService: SERVICE };
        agents.push(await startProcess("platform-agent", name, ip, extra));
        const rack = `r1-${Math.floor(index / perRack) + 1}`;
        const worker = createWorker({
            name: `w${index + 1}`,
            address,
            control,
            service: SERVICE,
            zone: "z1",
            rack,
            capacity,
            holdMaxMs: BOUNDS.hold_max_ms,
            stopMs,
            bootedMs,
            note,
        });
        await worker.start();
        workers.push(worker);
    }

    /** Sends a call to an entry; returns the status and the body, or status 0 without an answer. */
    function call(entry, method, path, { key = "key-t1", body, deadlineMs = 3_000 } = {}) {
        const text = body === undefined ? "" : JSON.stringify(body);
        const label = `${entry.name} ${method} ${path}`;
        note("sent", { call: label, body: text.length > SHOWN_BODY ? `${text.length} bytes` : body });
        return new Promise(resolve => {
            const finish = (status, reply) => {
                note("answered", { call: label, status, reply });
                resolve({ status, reply });
            };
            const request = sendRequest({
                host: entry.ip,
                port: 8521,
                method,
                path,
                headers: {
                    host: HOST,
                    authorization: `Bearer ${key}`,
                    "content-type": "application/json",
                    "content-length": text.length,
                    "x-deadline": String(deadlineMs),
                },
                agent: false,
                timeout: deadlineMs,
            });
            request.on("timeout", () => request.destroy());
            request.on("error", () => finish(0));
            request.on("response", response => {
                let reply = "";
                response.on("data", chunk => (reply += chunk));
                response.on("error", () => finish(0));
                response.on("end", () => finish(response.statusCode, reply ? JSON.parse(reply) : {}));
            });
            request.end(text);
        });
    }

    const newId = () =>
        Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join("");

    /** Hands a job in as a client does: the same id again, at another entry, until there is a 2xx answer. */
    async function submit(queue, job, { key, id = newId(), tries = 8, at = 0 } = {}) {
        for (let attempt = 0; attempt < tries; attempt++) {
            const entry = entries[(at + attempt) % entries.length];
            const { status } = await call(entry, "POST", `/${queue}/${id}`, { key, body: job });
            if (status === 200) {
                return id;
            }
            await pause(500);
        }
        throw new Error(`the job ${id} was not accepted`);
    }

    /** Waits until `holds()` is true; returns whether it became so. */
    async function until(holds, timeoutMs) {
        const endsAt = Date.now() + timeoutMs;
        while (!holds()) {
            if (Date.now() > endsAt) {
                return false;
            }
            await pause(20);
        }
        return true;
    }

    await until(() => store.keys("tanagerdeck/leader").length > 0, 10_000);
    await pause(2_500);
    return {
        network,
        folder,
        store,
        entries,
        agents,
        workers,
        events,
        note,
        call,
        submit,
        until,
        writeManifest,
        tenants,
        startProcess,
        newId,
        /** The entry that leads, by the key that it holds. */
        leader: () => {
            const text = store.text("tanagerdeck/leader") ?? "";
            return entries.find(entry => text.includes(`"${entry.name}"`));
        },
        /** Starts a process that has ended again, with the same settings. */
        async restart(list, index) {
            const { role, name, ip, extra, proxy } = list[index];
            list[index] = await startProcess(role, name, ip, extra, { proxy });
        },
        runsOf: job => workers.flatMap(worker => worker.running()).filter(run => run.task.startsWith(job)),
        async stop() {
            for (const child of running) {
                child.kill("SIGKILL");
            }
            for (const worker of workers) {
                worker.close();
            }
            for (const { proxy } of [...entries, ...agents]) {
                proxy.close();
            }
            store.close();
            rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** A job of one step whose tasks take `ms` each. */
export function job({ ms, count = 1, cpu = 8_000, mem_mb = 16_000, gpu = 1, failures, ...step }) {
    return {
        spec: JSON.stringify({
            ms,
            cpu,
            mem_mb,
            gpu,
            failures,
            save_ms: step.checkpointing ? SAVE_MS : undefined,
        }),
        steps: [{ count, cpu, mem_mb, gpu, estimate_ms: ms, ...step }],
    };
}
