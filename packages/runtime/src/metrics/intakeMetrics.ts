import { Counter, Gauge, type Registry } from "prom-client";
import type { ClosingCause } from "../intake/intakeTypes.ts";

/** What the connections of callers hold at present. */
export interface IntakeLoad {
    readonly bytes: number;
    readonly connections: number;
}

/** Receives measurements of what the listeners of a process take in. */
export interface IntakeMetrics {
    closed(cause: ClosingCause): void;
    /** Sets what is read each time the metrics are. */
    follow(load: IntakeLoad): void;
}

/** Registers the metrics of the intake. */
export function createIntakeMetrics(registry: Registry): IntakeMetrics {
    const registers = [registry];
    let followed: IntakeLoad = { bytes: 0, connections: 0 };
    const closed = new Counter({
        name: "tanagerdeck_intake_closed_total",
        help: "Connections closed by the process, by cause.",
        labelNames: ["cause"],
        registers,
    });
    new Gauge({
        name: "tanagerdeck_intake_bytes",
        help: "Memory that the connections of callers are charged for.",
        registers,
        collect() {
            this.set(followed.bytes);
        },
    });
    new Gauge({
        name: "tanagerdeck_connections",
        help: "Open connections of callers.",
        registers,
        collect() {
            this.set(followed.connections);
        },
    });
    return {
        closed: cause => closed.inc({ cause }),
        follow(load) {
            followed = load;
        },
    };
}
