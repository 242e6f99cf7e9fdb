#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <control.pb.h>

#include <string>
#include <variant>

namespace bergamotweir::process {

/**
 * The HTTP protocol between the operators of a deployment and control: plain functions that translate between HTTP and
 * wire messages and make no decisions. Instances are constants.
 */
struct OperatorProtocol {
    /** @return the operator's request, or the answer that refuses an invalid one */
    std::variant<wire::OperatorRequest, net::HttpAnswer> (*read)(const net::HttpRequest &request) = nullptr;

    /**
     * @param order the operator's request
     * @param reply its result
     * @return the HTTP answer
     */
    net::HttpAnswer (*write)(const wire::OperatorRequest &order, const wire::OperatorReply &reply) = nullptr;

    /**
     * @param location IP and port for operators' requests of the leader; empty when no leader is known
     * @return the answer of a replica that is not the leader
     */
    net::HttpAnswer (*redirect)(const net::HttpRequest &request, const std::string &location) = nullptr;
};

} // namespace bergamotweir::process
