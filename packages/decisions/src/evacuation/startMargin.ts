/** Time left for the call to the worker and for clock drift when the oldest notice that counts is used, in milliseconds. */
export const START_MARGIN_MS = 1_000;
