import { uniformFloat32 } from "pure-rand/distribution/uniformFloat32";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { congruential32 } from "pure-rand/generator/congruential32";

/** Seeded random source of a soak, so that a seed can be run again. */
export interface SoakRandom {
    /** Returns an integer from `least` to `most`, both included. */
    between(least: number, most: number): number;
    chance(probability: number): boolean;
    pick<T>(choices: readonly T[]): T;
}

/** Creates the random source of a seed. */
export function createSoakRandom(seed: number): SoakRandom {
    const generator = congruential32(seed);
    const between = (least: number, most: number): number => uniformInt(generator, least, most);
    return {
        between,
        chance: probability => uniformFloat32(generator) < probability,
        pick: choices => choices[between(0, choices.length - 1)]!,
    };
}
