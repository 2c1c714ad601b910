/** The availability zones that the operator has evacuated, as one process knows them. */
export interface EvacuationView {
    /** Store revision of each zone's request, by zone. */
    revisions: ReadonlyMap<string, number>;
}
