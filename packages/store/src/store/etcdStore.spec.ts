import { expect } from "chai";
import { startSlowLink } from "@tanagerdeck/standins/network/slowLink";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { createEtcdStore } from "./etcdStore.ts";
import { jitteredInterval, reconnectDelay } from "./reconnectDelay.ts";
import type { Store, Write } from "./storeTypes.ts";

describe("the etcd client", () => {
    let platform: PlatformStandin;
    let store: Store;
    let counted: string[];

    beforeEach(async () => {
        counted = [];
        platform = await startPlatformStandin("127.0.0.1:0");
        store = createEtcdStore(platform.listener.address, operation => counted.push(operation));
    });

    afterEach(async () => {
        await store.close();
        await platform.listener.close();
    });

    function put(key: string, value: string, expectedVersion: number | undefined, lease?: string): Write {
        return { key, value, expectedVersion, lease };
    }

    describe("compare-and-swap", () => {
        it("writes all keys of a transaction or none", async () => {
            expect((await store.write([put("a", "1", 0), put("b", "1", 0)])).extract()).to.equal("written");
            expect((await store.write([put("a", "2", 0), put("c", "2", 0)])).extract()).to.equal("conflict");
            const listed = (await store.list("a")).unsafeCoerce();
            expect(listed.map(stored => stored.value)).to.deep.equal(["1"]);
            expect((await store.get("c")).extract()).to.equal(undefined);
        });

        it("gives both keys of one transaction the same version, as one revision covers it", async () => {
            await store.write([put("a", "1", 0), put("b", "1", 0)]);
            const versions = [await store.get("a"), await store.get("b")].map(
                read => read.unsafeCoerce()?.version,
            );
            expect(versions[0]).to.equal(versions[1]);
        });

        it("expects an absent key after a delete, so that a stale version never matches", async () => {
            await store.write([put("a", "1", 0)]);
            const { version } = (await store.get("a")).unsafeCoerce()!;
            await store.write([{ key: "a", value: undefined, expectedVersion: version }]);
            expect((await store.write([put("a", "2", version)])).extract()).to.equal("conflict");
            expect((await store.write([put("a", "2", 0)])).extract()).to.equal("written");
        });

        it("reports may-have-run when the reply of an applied write is lost", async () => {
            platform.faults.mode = "lose-write-reply";
            const result = await store.write([put("a", "1", 0)]);
            expect(result.swap().unsafeCoerce().verdict).to.equal("may-have-run");
            expect((await store.get("a")).unsafeCoerce()?.value).to.equal("1");
        });
    });

    describe("behind a slow link", function () {
        this.timeout(15_000);
        const LINK_BYTES_PER_SECOND = 200_000;
        /** Base64 makes the reply a third larger: it takes 3.3 s on the link, more than the timeout of a call. */
        const VALUE_BYTES = 500_000;

        it("reads a value that takes longer than the timeout of a call, as a retry would start over", async () => {
            const link = await startSlowLink(platform.listener.address, LINK_BYTES_PER_SECOND);
            const behindLink = createEtcdStore(link.address, () => {});
            await store.write([put("a", "x".repeat(VALUE_BYTES), 0)]);
            const read = await behindLink.get("a");
            const listed = await behindLink.list("a");
            await behindLink.close();
            await link.close();
            expect(read.unsafeCoerce()?.value).to.have.length(VALUE_BYTES);
            expect(listed.unsafeCoerce()[0]?.value).to.have.length(VALUE_BYTES);
        });
    });

    describe("leases", () => {
        it("removes the keys of an expired lease and refuses its renewal", async () => {
            const lease = (await store.grantLease(10)).unsafeCoerce();
            await store.write([put("entries/a", "1", 0, lease)]);
            expect((await store.renewLease(lease)).extract()).to.equal(true);
            platform.expireLease(lease);
            expect((await store.get("entries/a")).extract()).to.equal(undefined);
            expect((await store.renewLease(lease)).extract()).to.equal(false);
        });

        it("reports not-run for a write under an expired lease, as the service applies nothing", async () => {
            const lease = (await store.grantLease(10)).unsafeCoerce();
            platform.expireLease(lease);
            const result = await store.write([put("a", "1", 0), put("b", "1", 0, lease)]);
            expect(result.swap().unsafeCoerce().verdict).to.equal("not-run");
            expect((await store.get("a")).extract()).to.equal(undefined);
        });
    });

    describe("watches", () => {
        it("reports the opened stream and each change below the prefix, and counts as one call", async () => {
            let notifications = 0;
            const stop = store.watch(
                "x/",
                () => notifications++,
                () => undefined,
            );
            await pollUntil(() => notifications === 1, 5_000);
            await store.write([put("y/a", "1", 0)]);
            await store.write([put("x/a", "1", 0)]);
            await pollUntil(() => notifications === 2, 5_000);
            stop();
            expect(counted.filter(operation => operation === "watch")).to.have.length(1);
            expect(platform.calls.get("/v3/watch")).to.equal(1);
        });

        it("ends when the service goes down, so that the caller reconnects", async () => {
            let notifications = 0;
            let ended = false;
            store.watch(
                "x/",
                () => notifications++,
                () => (ended = true),
            );
            await pollUntil(() => notifications === 1, 5_000);
            platform.faults.mode = "down";
            await pollUntil(() => ended, 5_000);
        });
    });

    describe("delays", () => {
        it("keeps a jittered interval at or below the given one", () => {
            expect(jitteredInterval(5_000, () => 0)).to.equal(5_000);
            expect(jitteredInterval(5_000, () => 1)).to.equal(4_000);
        });

        it("spreads reconnects over a window that grows to 5 s", () => {
            expect(reconnectDelay(0, () => 1)).to.equal(500);
            expect(reconnectDelay(30, () => 1)).to.equal(5_000);
            expect(reconnectDelay(30, () => 0)).to.equal(0);
        });
    });
});
