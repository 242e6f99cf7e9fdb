#pragma once

#include "base/Finding.h"
#include "cli/Setting.h"
#include "control.pb.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace bergamotweir::cli {

class Values;
struct Context;

/** Output of a command, for both output formats: text and JSON. */
struct Answer {
    int exitCode = 0;
    Findings findings;
    /** Members of the JSON object in addition to status, exit_code and findings. */
    nlohmann::json details = nlohmann::json::object();
    std::string text;
};

/** Prints an answer: with --json as one JSON object, otherwise as text with the findings on standard error.
 * @return the exit code */
int print(const Answer &answer, const Values &values, Context &context);

/** Prints the findings that kept a command from being carried out. @return the exit code */
int printFailure(int exitCode, Findings findings, const Values &values, Context &context);

/** @return the setting --json, which every operator command has */
Setting jsonSetting();

/** @return the settings --control, --timeout and --json of commands that send requests to the control group */
std::vector<Setting> requestSettings();

/** @return requestSettings() and the settings of a change: --change-id, --author, --wait and --even-if-last */
std::vector<Setting> changeSettings();

/** Sends a request to the control group at the endpoints of --control. */
wire::OperatorReply sendRequest(const wire::OperatorRequest &request, const Values &values, Context &context);

/** @return exit code and findings of a reply, with its version and table version as details */
Answer toAnswer(const wire::OperatorReply &reply);

} // namespace bergamotweir::cli
