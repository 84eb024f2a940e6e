/** Named errors: the base class every layer extends, and the stable problem codes that callers see. */
export { describeError, KumquathallError } from "./kumquathallError.js";
export { ProblemCode, type ProblemCodeValue, RefusalError } from "./problem.js";
