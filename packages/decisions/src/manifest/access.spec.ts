import { expect } from "chai";
import type { Manifest, Queue } from "./manifestTypes.ts";
import { checkAccess, indexManifest } from "./access.ts";

describe("access to a queue", () => {
    const terms = { priority: 0, attempts: 1, stretch: 1, latencyTargetMs: 0 };

    function queueOf(name: string, pathPrefix: string, changes: Partial<Queue> = {}): Queue {
        return { name, host: "h", pathPrefix, service: "desk", public: false, terms, ...changes };
    }

    const manifest: Manifest = {
        revision: 1,
        version: 1,
        queues: [queueOf("short", "/a/"), queueOf("long", "/a/b/"), queueOf("open", "/o/", { public: true })],
        services: [],
        clientAccounts: [{ name: "firm", keys: ["k1", "k2"], guaranteedGpus: 0 }],
        bodyLimitBytes: 1_000,
        headerLimitBytes: 1_000,
        headerTimeoutMs: 1_000,
        idleTimeoutMs: 1_000,
    };
    const index = indexManifest(manifest);

    it("takes the queue with the longest prefix of the path", () => {
        const access = checkAccess(index, { host: "h", path: "/a/b/c", key: "k2" });
        expect(access).to.deep.include({ kind: "granted", clientAccount: "firm", path: "c" });
        expect(access.kind === "granted" && access.queue.name).to.equal("long");
    });

    it("finds no queue for another host or path, whatever the key", () => {
        expect(checkAccess(index, { host: "x", path: "/a/1", key: "k1" }).kind).to.equal("no-queue");
        expect(checkAccess(index, { host: "h", path: "/x/", key: undefined }).kind).to.equal("no-queue");
    });

    it("refuses an unknown or missing key", () => {
        expect(checkAccess(index, { host: "h", path: "/a/1", key: "no" }).kind).to.equal("unknown-key");
        expect(checkAccess(index, { host: "h", path: "/a/1", key: undefined }).kind).to.equal("unknown-key");
    });

    it("needs no key on a public queue", () => {
        const access = checkAccess(index, { host: "h", path: "/o/1", key: undefined });
        expect(access).to.deep.include({ kind: "granted", clientAccount: undefined });
    });
});
