import type { CommitRequest } from "@tanagerdeck/decisions/gang/gangTypes";
import type { AgentFixture, GangFixture } from "./gangFixture.ts";
import type { CallLabel, MessageFault } from "./networkFixture.ts";
import type { ProcessFixture } from "./processFixture.ts";

/** Steps of the gang protocol at which a fault can occur. */
export const GANG_STEPS = ["reserve", "commit", "prepare", "start", "renew", "stop"] as const;

/** A step of the gang protocol. */
export type GangStep = (typeof GANG_STEPS)[number];

/** Faults that can be injected at a step; the member is the receiver of the step's message. */
export const GANG_FAULTS = [
    "coordinator killed",
    "coordinator frozen and resumed",
    "anchor killed",
    "anchor frozen and resumed",
    "member killed",
    "member frozen and resumed",
    "member restarted",
    "anchor VM killed",
    "member VM killed",
    "worker silent",
    "message lost",
    "reply lost",
    "message delayed",
    "message duplicated",
    "two coordinators",
    "platform down",
    "platform replies lost",
] as const;

/** A fault of the gang protocol. */
export type GangFault = (typeof GANG_FAULTS)[number];

/** A fault to inject at the call of a step whose number, counted from 1, is `occurrence`. */
export interface Injection {
    step: GangStep;
    fault: GangFault;
    occurrence: number;
    /** Delay of a delayed or duplicated message. */
    delayMs?: number;
}

const FREEZE_MS = 8_000;
const OUTAGE_MS = 10_000;
/** Delay until another entry claims the jobs of a dead one, whose registration lease has to expire first. */
const CLAIM_AFTER_MS = 5_000;

const MESSAGE_FAULTS: Partial<Record<GangFault, MessageFault>> = {
    "message lost": "request-lost",
    "reply lost": "reply-lost",
    "message delayed": "request-delayed",
    "message duplicated": "request-duplicated",
};

/** Injects faults into a fixture; the returned list collects all commitments. */
export function injectFaults(fixture: GangFixture, injections: Injection[]): CommitRequest[] {
    const commitments: CommitRequest[] = [];
    const counts = new Map<string, number>();
    fixture.network.chooseFault = label => {
        if (label.step === "commit") {
            commitments.push(label.input as CommitRequest);
        }
        const count = (counts.get(label.step) ?? 0) + 1;
        counts.set(label.step, count);
        let result: MessageFault = "none";
        for (const { step, fault, occurrence, delayMs } of injections) {
            if (step === label.step && occurrence === count) {
                fixture.network.delayMs = delayMs ?? fixture.network.delayMs;
                triggerFault(fixture, fault, label);
                result = MESSAGE_FAULTS[fault] ?? result;
            }
        }
        return result;
    };
    return commitments;
}

function triggerFault(fixture: GangFixture, fault: GangFault, label: CallLabel): void {
    const { clock, platform, entries, agents } = fixture;
    const coordinator = entries[0]!.process;
    const anchorName = label.step === "reserve" || label.step === "commit" ? "agent-0" : label.from;
    const anchor = agents.find(({ process }) => process.name === anchorName) ?? agents[0]!;
    const position = Math.max(
        0,
        agents.findIndex(({ process }) => process.name === label.to),
    );
    const claim = () => entries[1]!.jobs.send({ kind: "claim", owner: coordinator.name });
    const member = agents[position]!;
    const actions: Partial<Record<GangFault, () => void>> = {
        "coordinator killed"() {
            coordinator.kill();
            clock.startTimer(CLAIM_AFTER_MS, claim);
        },
        "coordinator frozen and resumed"() {
            freeze(fixture, coordinator);
            clock.startTimer(CLAIM_AFTER_MS, claim);
        },
        "anchor killed": () => anchor.process.kill(),
        "anchor frozen and resumed": () => freeze(fixture, anchor.process),
        "member killed": () => member.process.kill(),
        "member frozen and resumed": () => freeze(fixture, member.process),
        "anchor VM killed": () => killVm(anchor),
        "member VM killed": () => killVm(member),
        "member restarted": () => fixture.restartAgent(position),
        "worker silent"() {
            member.model.faults.silent = true;
            clock.startTimer(OUTAGE_MS, () => (member.model.faults.silent = false));
        },
        "two coordinators": claim,
        "platform down"() {
            platform.mode = "down";
            clock.startTimer(OUTAGE_MS, () => (platform.mode = "normal"));
        },
        "platform replies lost"() {
            platform.mode = "lose-write-reply";
            clock.startTimer(OUTAGE_MS, () => (platform.mode = "normal"));
        },
    };
    actions[fault]?.();
}

/** Kills an agent together with its worker and the worker's tasks. */
function killVm({ process, model }: AgentFixture): void {
    process.kill();
    model.fail();
    model.faults.silent = true;
}

function freeze(fixture: GangFixture, process: ProcessFixture): void {
    process.freeze();
    fixture.clock.startTimer(FREEZE_MS, () => process.resume());
}
