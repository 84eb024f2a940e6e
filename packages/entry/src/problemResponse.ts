import { ProblemCode, type ProblemCodeValue } from "@kumquathall/errors";
import type { OutcomeValue } from "@kumquathall/types";
import type { ServerResponse } from "node:http";

/** HTTP status of each problem code. */
export const PROBLEM_STATUS: Record<ProblemCodeValue, number> = {
    [ProblemCode.BadRequest]: 400,
    [ProblemCode.Unauthorized]: 401,
    [ProblemCode.Forbidden]: 403,
    [ProblemCode.UnknownService]: 404,
    [ProblemCode.UnknownModel]: 404,
    [ProblemCode.BodyTooLarge]: 413,
    [ProblemCode.RequestTimeout]: 408,
    [ProblemCode.KeyMissing]: 400,
    [ProblemCode.KeyReused]: 422,
    [ProblemCode.KeyExpired]: 410,
    [ProblemCode.OutcomeUnknown]: 409,
    [ProblemCode.AnswerNotRetained]: 409,
    [ProblemCode.Quarantined]: 422,
    [ProblemCode.NoCapacity]: 503,
    [ProblemCode.RateLimited]: 429,
    [ProblemCode.DeadlineTooShort]: 503,
    [ProblemCode.DeadlineExceeded]: 504,
    [ProblemCode.NotReady]: 503,
    [ProblemCode.Stopping]: 503,
    [ProblemCode.StaleRoute]: 503,
    [ProblemCode.EngineFailed]: 502,
    [ProblemCode.AnswerBroken]: 502,
    [ProblemCode.Cancelled]: 499,
    [ProblemCode.VersionConflict]: 409,
    [ProblemCode.InvalidChange]: 422,
    [ProblemCode.NotFound]: 404,
    [ProblemCode.NoLeader]: 503,
    [ProblemCode.Internal]: 500,
};

/** An error as reported to the caller. */
export interface Problem {
    code: ProblemCodeValue;
    detail: string;
    outcome: OutcomeValue;
    requestId: string;
    retryAfterMs: number | undefined;
}

export const REQUEST_ID_HEADER = "kumquathall-request-id";
export const OUTCOME_HEADER = "kumquathall-outcome";

/** Formats a problem as `application/problem+json`. */
export function formatProblem(problem: Problem): string {
    return JSON.stringify({
        type: `urn:kumquathall:problem:${problem.code}`,
        title: problem.code,
        status: PROBLEM_STATUS[problem.code],
        detail: problem.detail,
        code: problem.code,
        outcome: problem.outcome,
        requestId: problem.requestId,
        retryAfterMs: problem.retryAfterMs,
    });
}

/** Sends a problem as the response, unless a response has already been started. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const body = formatProblem(problem);
    const headers: Record<string, string | number> = {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(body),
        [REQUEST_ID_HEADER]: problem.requestId,
        [OUTCOME_HEADER]: problem.outcome,
    };
    if (problem.retryAfterMs !== undefined) {
        headers["retry-after"] = Math.max(1, Math.ceil(problem.retryAfterMs / 1000));
    }
    if (problem.code === ProblemCode.BodyTooLarge || problem.code === ProblemCode.RequestTimeout) {
        headers.connection = "close";
    }
    response.writeHead(PROBLEM_STATUS[problem.code], headers).end(body);
}
