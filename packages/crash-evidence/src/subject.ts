import { QuarantineSubject, type QuarantineSubjectValue, type RequestTraits } from "@kumquathall/types";

/** What may have ended an endpoint. */
export interface Subject {
    subject: QuarantineSubjectValue;
    id: string;
}

/** Lists what a request carries that may have ended its endpoint. */
export function listSubjects(request: RequestTraits): Subject[] {
    return [{ subject: QuarantineSubject.Request, id: request.fingerprint }, ...listPromptParts(request)];
}

/** Lists the prompt parts that a request carries, each once. */
export function listPromptParts(request: Pick<RequestTraits, "parts">): Subject[] {
    return [...new Set(request.parts)].map(id => ({ subject: QuarantineSubject.PromptPart, id }));
}

/** Formats a key that is unique over all kinds of subjects. */
export function formatSubjectKey({ subject, id }: Subject): string {
    return `${subject}/${id}`;
}
