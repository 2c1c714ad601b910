/** Time after the start of a task in which a crash of its worker counts as caused by the start. */
export const START_PHASE_MS = 2_000;
