/** One possible next step. */
export interface Move<State> {
    name: string;
    apply: () => State;
}

/** A promise that must hold in every state; returns what is wrong, or `undefined`. */
export interface Invariant<State> {
    name: string;
    check: (state: State) => string | undefined;
}

/** A small system built from the product's transition functions. */
export abstract class Specification<State> {
    abstract readonly name: string;
    /** What is in the bound, for the report. */
    abstract readonly bounds: string;
    abstract create(): State;
    abstract listMoves(state: State): Move<State>[];
    /** Text that is equal for states that behave the same. */
    abstract encode(state: State): string;
    abstract readonly invariants: Invariant<State>[];
}

export interface ExploreOptions {
    maxDepth: number;
    /** Exploration stops beyond this many states; the result then says that it is not exhaustive. */
    maxStates: number;
}

export interface ExploreResult {
    states: number;
    transitions: number;
    depth: number;
    /** Every state within the depth was visited. */
    isExhaustive: boolean;
    violation: { invariant: string; detail: string; trace: string[] } | undefined;
}

interface Node<State> {
    state: State;
    parent: Node<State> | undefined;
    move: string;
    depth: number;
}

/** Visits states breadth first, so that the first violation has a shortest trace. */
export function exploreStates<State>(specification: Specification<State>, options: ExploreOptions): ExploreResult {
    const root: Node<State> = { state: specification.create(), parent: undefined, move: "start", depth: 0 };
    const seen = new Set<string>([specification.encode(root.state)]);
    let frontier: Node<State>[] = [root];
    let transitions = 0;
    let depth = 0;
    const initial = findViolation(specification, root);
    if (initial !== undefined) {
        return { states: 1, transitions, depth, isExhaustive: false, violation: initial };
    }
    while (frontier.length > 0 && depth < options.maxDepth) {
        depth++;
        const next: Node<State>[] = [];
        for (const node of frontier) {
            for (const move of specification.listMoves(node.state)) {
                transitions++;
                const child: Node<State> = { state: move.apply(), parent: node, move: move.name, depth };
                const key = specification.encode(child.state);
                if (seen.has(key)) {
                    continue;
                }
                seen.add(key);
                const violation = findViolation(specification, child);
                if (violation !== undefined) {
                    return { states: seen.size, transitions, depth, isExhaustive: false, violation };
                }
                next.push(child);
            }
            if (seen.size > options.maxStates) {
                return { states: seen.size, transitions, depth, isExhaustive: false, violation: undefined };
            }
        }
        frontier = next;
    }
    return { states: seen.size, transitions, depth, isExhaustive: true, violation: undefined };
}

function findViolation<State>(specification: Specification<State>, node: Node<State>): ExploreResult["violation"] {
    for (const invariant of specification.invariants) {
        const detail = invariant.check(node.state);
        if (detail !== undefined) {
            return { invariant: invariant.name, detail, trace: listTrace(node) };
        }
    }
    return undefined;
}

function listTrace<State>(node: Node<State>): string[] {
    const moves: string[] = [];
    for (let at: Node<State> | undefined = node; at?.parent !== undefined; at = at.parent) {
        moves.unshift(at.move);
    }
    return moves;
}
