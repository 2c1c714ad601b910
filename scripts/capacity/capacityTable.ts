import { readFileSync, writeFileSync } from "node:fs";
import { fitLine } from "./leastSquares.ts";
import type { MemoryRow } from "./memory.ts";
import type { Slope } from "./series.ts";

const BEGIN = "<!-- capacity:begin -->";
const END = "<!-- capacity:end -->";

/** Formats the slopes as a Markdown table with the fitted line of each. */
export function slopeTable(slopes: Slope[]): string {
    const rows = slopes.map(({ name, unit, sizeLabel, points }) => {
        const { intercept, slope, residual } = fitLine(points);
        const shown = points.map(([size, value]) => `${size}: ${format(value)}`).join(", ");
        const cells = [name, unit, sizeLabel, shown, format(intercept), format(slope), format(residual)];
        return `| ${cells.join(" | ")} |`;
    });
    return [
        "| measure | unit | size | points | at 0 | slope | residual |",
        "| --- | --- | --- | --- | ---: | ---: | ---: |",
        ...rows,
    ].join("\n");
}

/** Formats memory in MB as a Markdown table. The first row must be the bare runtime, the base of the last column. */
export function memoryTable(rows: MemoryRow[]): string {
    const bare = rows[0]!;
    const lines = rows.map(({ role, resident, privateDirty }) => {
        const aboveBare = resident - bare.resident;
        return `| ${[role, format(resident), format(privateDirty), format(aboveBare)].join(" | ")} |`;
    });
    return [
        "| process | resident, MB | private dirty, MB | resident above bare, MB |",
        "| --- | ---: | ---: | ---: |",
        ...lines,
    ].join("\n");
}

/** Replaces the text between the capacity markers of a page. Throws if the page lacks a marker. */
export function replaceTables(path: string, text: string): void {
    const page = readFileSync(path, "utf8");
    const begin = page.indexOf(BEGIN);
    const end = page.indexOf(END);
    if (begin < 0 || end < begin) {
        throw new Error(`${path} has no markers.`);
    }
    writeFileSync(path, `${page.slice(0, begin + BEGIN.length)}\n\n${text}\n\n${page.slice(end)}`);
}

function format(value: number): string {
    return Number(value.toPrecision(4)).toString();
}
