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

/** What a command has to say, in both forms. */
struct Answer {
    int exitCode = 0;
    Findings findings;
    /** Members of the JSON object, beside status, exit_code and findings. */
    nlohmann::json details = nlohmann::json::object();
    std::string text;
};

/** Prints an answer: one JSON object with --json, otherwise text, with the findings on standard error. */
int print(const Answer &answer, const Values &values, Context &context);

/** Prints that a command was not carried out, and why. */
int printFailure(int exitCode, Findings findings, const Values &values, Context &context);

/** @return --json; every operator command has it */
Setting jsonSetting();

/** @return --control, --timeout and --json; every command that asks the control group has them */
std::vector<Setting> askSettings();

/** @return askSettings and those of a change: --change-id, --author, --wait, --even-if-last */
std::vector<Setting> changeSettings();

/** Sends a request to the control group that the settings name. */
wire::OperatorReply ask(const wire::OperatorRequest &request, const Values &values, Context &context);

/** @return exit code and findings of a reply; version and table version as details */
Answer toAnswer(const wire::OperatorReply &reply);

} // namespace bergamotweir::cli
