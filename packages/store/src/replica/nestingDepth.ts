const OPENING = /[[{]/g;

/**
 * Whether a JSON text is nested deeper than `limit`. `JSON.parse` accepts any depth, but `JSON.stringify` and other
 * recursive functions overflow the stack on a value of some thousand levels.
 */
export function isNestedDeeperThan(json: string, limit: number): boolean {
    // Each level takes an opening and a closing character.
    if (json.length <= 2 * limit || (json.match(OPENING)?.length ?? 0) <= limit) {
        return false;
    }
    let depth = 0;
    let isInString = false;
    for (let position = 0; position < json.length; position++) {
        const character = json[position];
        if (isInString) {
            if (character === "\\") {
                position += 1;
            } else if (character === '"') {
                isInString = false;
            }
        } else if (character === '"') {
            isInString = true;
        } else if (character === "[" || character === "{") {
            depth += 1;
            if (depth > limit) {
                return true;
            }
        } else if (character === "]" || character === "}") {
            depth -= 1;
        }
    }
    return false;
}
