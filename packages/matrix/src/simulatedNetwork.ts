import type { Socket } from "node:net";
import { Duplex } from "node:stream";

/** Bytes that are sent without letting other connections of the same VM send in between. */
const PIECE_BYTES = 16 * 1024;
const CLOSE_DELAY_MS = 1;

/** One direction of a VM's network interface, which its connections share. */
export class SimulatedInterface {
    private freeAt = 0;

    constructor(private readonly bytesPerMs: number) {}

    /** Reserves the time to carry some bytes from `now` on; returns when the last one has passed. */
    allocate(now: number, bytes: number): number {
        this.freeAt = Math.max(this.freeAt, now) + bytes / this.bytesPerMs;
        return this.freeAt;
    }
}

/** The interfaces of one simulated VM. */
export interface SimulatedVm {
    up: SimulatedInterface;
    down: SimulatedInterface;
}

/** Creates a VM with the same bandwidth in both directions. */
export function createSimulatedVm(bytesPerMs: number): SimulatedVm {
    return { up: new SimulatedInterface(bytesPerMs), down: new SimulatedInterface(bytesPerMs) };
}

/**
 * One end of a connection. A write completes once its bytes have arrived, so that a slow network blocks the writer.
 */
class SimulatedSocket {
    readonly stream: Duplex;
    private peer: Duplex | undefined;

    constructor(private readonly from: SimulatedVm, private readonly to: SimulatedVm) {
        this.stream = new Duplex({
            allowHalfOpen: false,
            read: () => undefined,
            write: (chunk: Buffer, _encoding, done) => this.sendPiece(chunk, done),
            destroy: (error, done) => {
                setTimeout(() => this.peer?.destroy(), CLOSE_DELAY_MS);
                done(error);
            },
        });
        Object.assign(this.stream, { setNoDelay: () => this.stream });
    }

    attachPeer(peer: SimulatedSocket): void {
        this.peer = peer.stream;
    }

    private sendPiece(rest: Buffer, done: () => void): void {
        if (rest.length === 0) {
            done();
            return;
        }
        const piece = rest.subarray(0, PIECE_BYTES);
        const now = performance.now();
        const arrivesAt = this.to.down.allocate(this.from.up.allocate(now, piece.length), piece.length);
        setTimeout(() => {
            if (this.peer?.destroyed === false) {
                this.peer.push(piece);
            }
            this.sendPiece(rest.subarray(PIECE_BYTES), done);
        }, Math.max(1, Math.ceil(arrivesAt - now)));
    }
}

/** Opens a connection between two VMs; returns the end of each. */
export function openSimulatedConnection(first: SimulatedVm, second: SimulatedVm): [Socket, Socket] {
    const near = new SimulatedSocket(first, second);
    const far = new SimulatedSocket(second, first);
    near.attachPeer(far);
    far.attachPeer(near);
    return [near.stream as Socket, far.stream as Socket];
}
