#include "Answer.h"
#include "Commands.h"
#include "ReplicaList.h"
#include "cli/Command.h"
#include "cli/Context.h"
#include "cli/Values.h"

namespace bergamotweir::cli {

namespace {

void addMembership(const wire::Membership &membership, Answer &answer)
{
    answer.details["members"] = nlohmann::json::array();
    for (const wire::Replica &replica : membership.replicas()) {
        answer.details["members"].push_back({{"id", replica.id()},
                                             {"voter", replica.voter()},
                                             {"address", replica.address()},
                                             {"control_address", replica.control_address()}});
        answer.text += replica.id() + (replica.voter() ? "  voter    " : "  learner  ") + "raft " + replica.address()
                       + "  control " + replica.control_address() + "\n";
    }
}

int changeMember(wire::ChangeMember::Change change, wire::Replica replica, const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_change_member()->set_change(change);
    *request.mutable_change_member()->mutable_replica() = std::move(replica);
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode == ExitUnknown) {
        answer.findings.push_back({"control group",
                                   "it is not known whether the change was made",
                                   "bergamotweir member list, then the command again if it was not"});
    }
    if (answer.exitCode == ExitDone) {
        addMembership(reply.membership(), answer);
    }
    return print(answer, values, context);
}

wire::Replica replicaWithId(const std::string &id)
{
    wire::Replica replica;
    replica.set_id(id);
    return replica;
}

} // namespace

int runMemberAdd(const Values &values, Context &context)
{
    const std::optional<wire::Replica> described = readReplica(values.arguments()[0] + "=" + values.arguments()[1]);
    wire::Replica replica = described.value_or(wire::Replica());
    replica.set_voter(false);
    return changeMember(wire::ChangeMember::CHANGE_ADD, std::move(replica), values, context);
}

int runMemberRemove(const Values &values, Context &context)
{
    return changeMember(wire::ChangeMember::CHANGE_REMOVE, replicaWithId(values.arguments()[0]), values, context);
}

int runMemberPromote(const Values &values, Context &context)
{
    return changeMember(wire::ChangeMember::CHANGE_PROMOTE, replicaWithId(values.arguments()[0]), values, context);
}

int runMemberList(const Values &values, Context &context)
{
    wire::OperatorRequest request;
    request.mutable_list_members();
    const wire::OperatorReply reply = sendRequest(request, values, context);
    Answer answer = toAnswer(reply);
    if (answer.exitCode == ExitDone) {
        addMembership(reply.membership(), answer);
    }
    return print(answer, values, context);
}

} // namespace bergamotweir::cli
