/* global performance, setTimeout */
// Starts the project's own programs with the commands of deploy/system.toml and the settings of its template, and starts
// them again when they end, as the platform does.
/* eslint no-restricted-syntax: "off" -- the settings and the store hold null */
import { spawn } from "node:child_process";
import fs from "node:fs";
import net from "node:net";
import os from "node:os";
import path from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), "../..");
const RESTART_MS = 500;
const FLAGS = { "platform-entry": "--max-old-space-size=160", "platform-agent": "--max-old-space-size=96" };

/** First two octets of the loopback addresses of this run. */
export async function freeNetwork() {
    for (let attempt = 0; attempt < 200; attempt++) {
        const network = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
        const isFree = await new Promise(resolve => {
            const server = net.createServer();
            server.once("error", () => resolve(false));
            server.listen(7000, `${network}.10`, () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return network;
        }
    }
    throw new Error("no free loopback addresses");
}

export const pause = ms => new Promise(resolve => setTimeout(resolve, ms));

export function createSystem({ record }) {
    const folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    const processes = [];
    let isStopping = false;

    function startProcess(role, settings) {
        const file = path.join(folder, `${settings.name}.json`);
        const one = {
            name: settings.name,
            role,
            settings,
            child: undefined,
            isHeld: false,
            /** Ends without a signal of the test: code, signal and the last lines of the output. */
            ownEnds: [],
            output: "",
            ready: undefined,
            write(changes = {}) {
                Object.assign(settings, changes);
                fs.writeFileSync(file, JSON.stringify(settings));
            },
            signal(name) {
                one.expected = name === "SIGKILL" || name === "SIGTERM";
                one.child?.kill(name);
            },
        };
        one.write();
        function start() {
            let resolveReady;
            one.ready = new Promise(resolve => (resolveReady = resolve));
            one.expected = false;
            const child = spawn(
                process.execPath,
                [FLAGS[role], path.join(ROOT, "target/tanagerdeck.cjs"), role, file],
                { cwd: ROOT, stdio: ["ignore", "pipe", "pipe"], env: { PATH: process.env.PATH } },
            );
            one.child = child;
            const collect = chunk => {
                one.output = (one.output + chunk).slice(-400_000);
                if (one.output.includes('{"ready":true')) {
                    resolveReady();
                }
            };
            child.stdout.on("data", collect);
            child.stderr.on("data", collect);
            child.on("exit", (code, signal) => {
                one.child = undefined;
                if (isStopping) {
                    return;
                }
                if (!one.expected) {
                    const reason = /(FATAL ERROR[^\n]*)/.exec(one.output.slice(-8_000))?.[1] ?? "";
                    one.ownEnds.push({ at: performance.now(), code, signal, reason });
                    record(`${one.name} ended by itself: code ${code} signal ${signal} ${reason}`);
                }
                one.output += `\n--- ended: ${code} ${signal}\n`;
                if (!one.isHeld) {
                    setTimeout(() => !isStopping && start(), RESTART_MS);
                }
            });
        }
        one.start = start;
        start();
        processes.push(one);
        return one;
    }

    return {
        folder,
        processes,
        startProcess,
        async stop() {
            isStopping = true;
            for (const { child } of processes) {
                child?.kill("SIGKILL");
            }
            await pause(200);
            fs.rmSync(folder, { recursive: true, force: true });
        },
    };
}

/** Settings as the template of the deploy file fills them in for the small sites. */
export function commonSettings({ network, index, name, zone, storeAddress, bounds = {} }) {
    return {
        name,
        availabilityZone: zone,
        ip: `${network}.${index}`,
        peerPort: 7000,
        metricsPort: 9464,
        seeds: [`${network}.10:8526`, `${network}.11:8526`, `${network}.12:8526`],
        storeAddress,
        longestHoldMs: 6000,
        keepJobsSeconds: 120,
        graceSeconds: 6,
        evacuationLimitMs: null,
        zones: { "zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-2" },
        farFactor: 3,
        ...bounds,
    };
}

export function entrySettings(options) {
    const common = commonSettings(options);
    return {
        ...common,
        cpuShare: 0.675,
        cpuSpeed: 1,
        memoryMb: 350,
        maxDescriptors: 4100,
        callerAddress: `${common.ip}:8521`,
        readyAddress: `${common.ip}:8523`,
        registrationAddress: null,
        workerAddress: null,
        workerService: null,
    };
}

export function agentSettings({ service, ...options }) {
    const common = commonSettings(options);
    return {
        ...common,
        cpuShare: 0.405,
        cpuSpeed: 1,
        memoryMb: 218,
        maxDescriptors: 4096,
        callerAddress: null,
        readyAddress: null,
        registrationAddress: `${common.ip}:8526`,
        workerAddress: `${common.ip}:8529`,
        workerService: service,
    };
}
