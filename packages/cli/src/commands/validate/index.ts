import { readServiceFiles } from "@kumquathall/read-service-files";
import { ExitCode } from "../../exitCode.js";
import { printJson, printLine } from "../../print.js";

export interface ValidateArgs {
    folder: string;
    json: boolean;
}

/** Validates the service files of a folder without sending anything. Returns the exit code. */
export function runValidate(args: ValidateArgs): number {
    return readServiceFiles(args.folder).caseOf({
        Left: errors => {
            args.json
                ? printJson(errors.map(error => ({ file: error.file, field: error.field, message: error.message })))
                : errors.forEach(error => printLine(error.message));
            if (!args.json) {
                printLine(`${errors.length} errors; nothing was sent. Correct them and run the command again.`);
            }
            return ExitCode.Invalid;
        },
        Right: files => {
            args.json
                ? printJson(files.map(file => file.file))
                : printLine(`${files.length} service files are valid.`);
            return ExitCode.Done;
        },
    });
}
