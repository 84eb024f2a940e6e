import { type HeaderField, Outcome, type OutcomeValue } from "@kumquathall/types";
import type { ServerResponse } from "node:http";
import { formatProblem, OUTCOME_HEADER, type Problem, REQUEST_ID_HEADER, sendProblem } from "./problemResponse.js";
import type { ResponseSink } from "./runAttempt.js";

const EVENT_STREAM = "text/event-stream";

/** Writes the response to one caller. Reports the outcome `complete` only after the response has been verified. */
export class ResponseWriter implements ResponseSink {
    private isEventStream = false;
    private isStreaming = false;

    constructor(private readonly response: ServerResponse, private readonly requestId: string) {}

    /** Whether a part of the response has been sent to the caller. */
    hasStarted(): boolean {
        return this.isStreaming;
    }

    start(status: number, headers: HeaderField[]): void {
        this.isStreaming = true;
        this.isEventStream = headers.some(field =>
            field.name === "content-type" && field.value.startsWith(EVENT_STREAM)
        );
        // The outcome is only known after the last byte: it is sent as a trailer, in event streams also as a comment.
        this.response.writeHead(
            status,
            [
                ...headers.map((field): [string, string] => [field.name, field.value]),
                [REQUEST_ID_HEADER, this.requestId],
                ["trailer", OUTCOME_HEADER],
            ].flat(),
        );
    }

    write(data: Uint8Array): boolean {
        return this.response.write(data);
    }

    onDrained(resume: () => void): void {
        this.response.once("drain", resume);
    }

    writeComplete(status: number, headers: HeaderField[], data: Uint8Array): void {
        this.response.writeHead(
            status,
            [
                ...headers.map((field): [string, string] => [field.name, field.value]),
                [REQUEST_ID_HEADER, this.requestId],
                [OUTCOME_HEADER, Outcome.Complete],
                ["content-length", String(data.length)],
            ].flat(),
        );
        this.response.end(data);
    }

    /** Ends a complete streamed response. */
    finish(): void {
        if (this.isStreaming && !this.response.writableEnded) {
            if (this.isEventStream) {
                this.response.write(`: kumquathall outcome=${Outcome.Complete} request=${this.requestId}\n\n`);
            }
            this.response.addTrailers({ [OUTCOME_HEADER]: Outcome.Complete });
            this.response.end();
        }
    }

    /**
     * Ends a failed response. Sends the problem if the response has not started; otherwise closes the connection, in
     * event streams after an error event.
     */
    fail(problem: Problem): void {
        if (!this.isStreaming) {
            sendProblem(this.response, problem);
            return;
        }
        if (this.isEventStream) {
            this.response.write(`event: error\ndata: ${formatProblem(problem)}\n\n`, () => this.response.destroy());
            return;
        }
        this.response.destroy();
    }
}

/** Returns the outcome of a request whose response was interrupted. */
export function describeBrokenOutcome(mayHaveRun: boolean): OutcomeValue {
    return mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
}
