/** Errors: the base class of all packages, and the stable problem codes that callers receive. */
export { describeError, KumquathallError } from "./kumquathallError.js";
export { ProblemCode, type ProblemCodeValue, RefusalError } from "./problem.js";
