/** A transition that is enabled in a state. */
export interface Transition<State> {
    name: string;
    apply: () => State;
}

/** A property of every reachable state. `check` describes the violation, or returns `undefined` if there is none. */
export interface Invariant<State> {
    name: string;
    check: (state: State) => string | undefined;
}

/** A small model of the system, built from the product's own transition functions. */
export abstract class Specification<State> {
    abstract readonly name: string;
    /** Describes the bounds of the model, for the report. */
    abstract readonly bounds: string;
    abstract create(): State;
    abstract listTransitions(state: State): Transition<State>[];
    /** Encodes a state so that states with equal behaviour have equal text. */
    abstract encode(state: State): string;
    abstract readonly invariants: Invariant<State>[];
}

export interface ExploreOptions {
    maxDepth: number;
    /** Exploration stops beyond this many states and is then not exhaustive. */
    maxStates: number;
}

export interface ExploreResult {
    states: number;
    transitions: number;
    depth: number;
    /** Whether every state within the depth was visited. */
    isExhaustive: boolean;
    /** The trace lists the transitions from the initial state to the violation. */
    violation: { invariant: string; detail: string; trace: string[] } | undefined;
}

interface Node<State> {
    state: State;
    parent: Node<State> | undefined;
    /** Name of the transition from the parent. */
    transition: string;
    depth: number;
}

/** Visits states breadth first, so that the trace to the first violation is as short as possible. */
export function exploreStates<State>(specification: Specification<State>, options: ExploreOptions): ExploreResult {
    const root: Node<State> = { state: specification.create(), parent: undefined, transition: "start", depth: 0 };
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
            for (const transition of specification.listTransitions(node.state)) {
                transitions++;
                const child: Node<State> = {
                    state: transition.apply(),
                    parent: node,
                    transition: transition.name,
                    depth,
                };
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
    const trace: string[] = [];
    for (let current: Node<State> | undefined = node; current?.parent !== undefined; current = current.parent) {
        trace.unshift(current.transition);
    }
    return trace;
}
