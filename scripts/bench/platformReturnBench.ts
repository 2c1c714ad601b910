import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { startConfigurationTask } from "@tanagerdeck/store/configuration/configurationTask";
import { createEtcdStore } from "@tanagerdeck/store/store/etcdStore";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { startPlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import type { Measure } from "./benchTypes.ts";

const CLIENT_COUNT = 200;
const OUTAGE_MS = 12_000;
const OBSERVED_MS = 10_000;
const SEED = 20_261_204;

/**
 * Measures the peak number of calls in any second after an outage, when all clients reconnect with jittered delays. The
 * baseline uses fixed delays.
 */
export async function platformReturnBench(): Promise<Measure[]> {
    const generator = xoroshiro128plus(SEED);
    const [jittered, fixed] = await Promise.all([
        peakAfterOutage(() => uniformFloat64(generator)),
        peakAfterOutage(() => 1),
    ]);
    return [{ name: "platformReturnPeak", unit: "calls/s", value: jittered, baseline: fixed }];
}

async function peakAfterOutage(random: () => number): Promise<number> {
    const platform = await startPlatformStandin("127.0.0.1:0");
    const clients = Array.from({ length: CLIENT_COUNT }, () => {
        const store = createEtcdStore(platform.listener.address, () => undefined);
        const onRead = () => undefined;
        const options = { environment: "bench", store, clock: systemClock, log: noopLog, random, onRead };
        return { store, task: startConfigurationTask(options) };
    });
    await wait(2_000);
    platform.faults.mode = "down";
    await wait(OUTAGE_MS);
    platform.faults.mode = "normal";
    const returnedAt = Date.now();
    await wait(OBSERVED_MS);
    const peak = peakInOneSecond(platform.callTimes.filter(time => time >= returnedAt));
    for (const { store, task } of clients) {
        await task.stop();
        await store.close();
    }
    await platform.listener.close();
    return peak;
}

function peakInOneSecond(times: number[]): number {
    let peak = 0;
    let start = 0;
    for (let end = 0; end < times.length; end++) {
        while (times[end]! - times[start]! >= 1_000) {
            start++;
        }
        peak = Math.max(peak, end - start + 1);
    }
    return peak;
}

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}
