#pragma once

#include "net/HttpAnswer.h"
#include "net/HttpRequest.h"

#include <control.pb.h>

#include <string>
#include <variant>

namespace bergamotweir::process {

/**
 * How operators of a deployment speak to control over HTTP: plain functions that translate, and decide nothing.
 * Instances are constants.
 */
struct OperatorProtocol {
    /** @return the order, or the answer to what is none */
    std::variant<wire::OperatorRequest, net::HttpAnswer> (*read)(const net::HttpRequest &request) = nullptr;

    /**
     * @param order what was asked
     * @param reply how it ended
     * @return the answer
     */
    net::HttpAnswer (*write)(const wire::OperatorRequest &order, const wire::OperatorReply &reply) = nullptr;

    /**
     * @param location IP:port of the leader's port for orders; empty when no leader is known
     * @return the answer of a replica that doesn't lead
     */
    net::HttpAnswer (*redirect)(const net::HttpRequest &request, const std::string &location) = nullptr;
};

} // namespace bergamotweir::process
