import { setTimeout as delay } from "node:timers/promises";
import type { ClientAccount } from "@tanagerdeck/decisions/document/documentTypes";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";
import { replaceDocument } from "../quickstart/environment.ts";
import { startDeployment, type Deployment } from "./deployment.ts";
import { startLoad } from "./load.ts";
import type { Point } from "./leastSquares.ts";
import type { ProcessUsage } from "./processSample.ts";

/** Measured points of one quantity against the size of a deployment. */
export interface Slope {
    name: string;
    unit: string;
    /** What the size counts, as shown in the table. */
    sizeLabel: string;
    points: Point[];
}

/** Programs, durations and seed of the measurements. */
export interface SeriesOptions {
    programs: string;
    /** Duration of the measurement of each point. */
    seconds: number;
    /** Time before each point, which keeps process starts and just-in-time compilation out of the measurement. */
    warmUpSeconds: number;
    seed: number;
}

/** Measures the points of one series at all its sizes. */
export type Series = (options: SeriesOptions) => Promise<Slope[]>;

type MeasuredPoint = { size: number; entry: ProcessUsage; agent: ProcessUsage };

const AGENT_COUNTS = [4, 8, 16, 32, 64];
const REQUEST_RATES = [0, 10, 20, 40, 80];
const ACCOUNT_COUNTS = [4, 25, 50, 100, 200];
const CHANGES_PER_MINUTE = [0, 6, 12, 24, 48];
const BASE_AGENT_COUNT = 4;
const BASE_REQUESTS_PER_SECOND = 5;
const ACCOUNT_REQUESTS_PER_SECOND = 20;
const MILLISECONDS_PER_MINUTE = 60_000;

/** Series by name: agents, request rate, client accounts and rate of configuration changes. */
export const series: Record<string, Series> = {
    async agents(options) {
        const deployment = await startDeployment(options.programs, BASE_AGENT_COUNT);
        const load = startLoad(deployment, BASE_REQUESTS_PER_SECOND, options.seed);
        const measured: MeasuredPoint[] = [];
        for (const size of AGENT_COUNTS) {
            await deployment.growTo(size);
            measured.push(await measurePoint(deployment, size, options));
        }
        await load.stop();
        await deployment.stop();
        return slopes("agents", "agents", measured);
    },
    async requests(options) {
        const deployment = await startDeployment(options.programs, BASE_AGENT_COUNT);
        const measured: MeasuredPoint[] = [];
        for (const size of REQUEST_RATES) {
            const load = startLoad(deployment, size, options.seed);
            measured.push(await measurePoint(deployment, size, options));
            await load.stop();
        }
        await deployment.stop();
        return slopes("requests", "requests/s at the entry, a quarter of them at each agent", measured);
    },
    async accounts(options) {
        const deployment = await startDeployment(options.programs, BASE_AGENT_COUNT);
        const load = startLoad(deployment, ACCOUNT_REQUESTS_PER_SECOND, options.seed);
        const { document } = deployment.environment.firm;
        const measured: MeasuredPoint[] = [];
        for (const [index, size] of ACCOUNT_COUNTS.entries()) {
            const clientAccounts = [...document.clientAccounts, ...createAccounts(size - 1)];
            await replaceDocument(deployment.environment, { ...document, clientAccounts }, index + 1);
            measured.push(await measurePoint(deployment, size, options));
        }
        await load.stop();
        await deployment.stop();
        return slopes("accounts", `client accounts, ${ACCOUNT_REQUESTS_PER_SECOND} requests/s`, measured);
    },
    async changes(options) {
        const deployment = await startDeployment(options.programs, BASE_AGENT_COUNT);
        const load = startLoad(deployment, BASE_REQUESTS_PER_SECOND, options.seed);
        const { document } = deployment.environment.firm;
        const largeDocument = {
            ...document,
            clientAccounts: [...document.clientAccounts, ...createAccounts(199)],
        };
        const measured: MeasuredPoint[] = [];
        let revision = 1;
        for (const size of CHANGES_PER_MINUTE) {
            const timer = setInterval(
                () => void replaceDocument(deployment.environment, largeDocument, revision++),
                size > 0 ? MILLISECONDS_PER_MINUTE / size : 2 ** 30,
            );
            measured.push(await measurePoint(deployment, size, options));
            clearInterval(timer);
        }
        await load.stop();
        await deployment.stop();
        return slopes("changes", "configuration changes/min, 200 accounts", measured);
    },
};

async function measurePoint(
    deployment: Deployment,
    size: number,
    options: SeriesOptions,
): Promise<MeasuredPoint> {
    await delay(options.warmUpSeconds * 1_000);
    return { size, ...(await deployment.measure(options.seconds)) };
}

function slopes(name: string, sizeLabel: string, measured: MeasuredPoint[]): Slope[] {
    const measuredSlopes: Slope[] = [];
    for (const role of ["entry", "agent"] as const) {
        const points = (read: (usage: ProcessUsage) => number): Point[] =>
            measured.map(point => [point.size, read(point[role])]);
        measuredSlopes.push(
            {
                name: `${name}: ${role} processor`,
                unit: "µs/s",
                sizeLabel,
                points: points(usage => usage.processorMicroseconds),
            },
            {
                name: `${name}: ${role} traffic`,
                unit: "B/s",
                sizeLabel,
                points: points(usage => usage.bytesPerSecond),
            },
            {
                name: `${name}: ${role} private dirty`,
                unit: "KB",
                sizeLabel,
                points: points(usage => usage.privateDirtyKilobytes),
            },
            {
                name: `${name}: ${role} resident`,
                unit: "KB",
                sizeLabel,
                points: points(usage => usage.residentKilobytes),
            },
        );
    }
    return measuredSlopes;
}

function createAccounts(count: number): ClientAccount[] {
    return Array.from({ length: count }, (_value, index) => ({
        name: `account-${index}`,
        tokenDigests: [tokenDigest(`account-token-${index}`)],
        guarantees: [],
        quota: { accelerators: 8, requestsPerSecond: 100, waiting: 100 },
        weight: 1,
    }));
}
