import type { HeaderField } from "@kumquathall/types";
import { type ForwardHeaderValues, HttpHeaderCodec, type RequestHead, type ResponseHead } from "../httpHeaderCodec.js";

type Headers = Record<string, string | string[] | undefined>;

const HOP_BY_HOP_HEADERS = new Set(["connection", "transfer-encoding", "content-length"]);

/** Headers of the tests of this package, which know no platform. */
export class PlainHeaderCodec extends HttpHeaderCodec {
    override readonly readyPath = "/ready";

    override decodeRequest(headers: Map<string, string>): RequestHead {
        const lastEventId = headers.get("resume-after");
        const deadlineMs = headers.get("deadline");
        return {
            requestId: headers.get("request-id"),
            deadlineMs: deadlineMs === undefined ? undefined : Number(deadlineMs),
            key: undefined,
            model: headers.get("model"),
            promptTokens: undefined,
            promptParts: [],
            maxAnswerTokens: undefined,
            answerTokensHint: undefined,
            lastEventId,
        };
    }

    override encodeForwardedRequest(headers: HeaderField[], values: ForwardHeaderValues): Record<string, string> {
        const id = headers.find(field => field.name === "request-id")?.value;
        return {
            ...(id === undefined ? {} : { "request-id": id }),
            ...(values.lastEventId === undefined ? {} : { "resume-after": values.lastEventId }),
        };
    }

    override decodeResponse(_status: number, headers: Headers): ResponseHead {
        return {
            requestId: headers["request-id"]?.toString(),
            isNotRun: headers["not-run"] !== undefined,
            isSigned: headers["signed"] !== undefined,
            isEncoded: false,
            load: undefined,
            limit: undefined,
            coldMs: undefined,
            isLeaving: false,
            pauseMs: undefined,
        };
    }

    override encodeResponse(headers: Headers): Record<string, string | string[]> {
        const kept: Record<string, string | string[]> = {};
        for (const [name, value] of Object.entries(headers)) {
            if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) {
                kept[name] = value;
            }
        }
        return kept;
    }

    override encodeRefusal(_requestId: string | undefined, retryAfterMs?: number): Record<string, string> {
        return retryAfterMs === undefined ? {} : { "return-ms": String(Math.round(retryAfterMs)) };
    }
}
