/** Draws at most `max` of the items at random; all of them if there are no more. */
export function pickCandidates<Item>(items: Item[], max: number, draw: () => number): Item[] {
    if (items.length <= max) {
        return items;
    }
    const drawn = new Map<number, Item>();
    while (drawn.size < max) {
        const at = Math.floor(draw() * items.length);
        drawn.set(at, items[at]);
    }
    return [...drawn.values()];
}
