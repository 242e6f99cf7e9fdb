#pragma once

namespace bergamotweir::agent {

/**
 * Token budget of a service for sending requests a second time: a fixed fraction of its first sends.
 * Guards against retry storms, in which a slow service receives several times its callers' load because each failed
 * request is sent again. With a budget of a twentieth, the load can't grow by more than a twentieth.
 * One per service and use (retries, hedges), owned by the agent process.
 */
struct RetryBudget {
    /** Tokens added by each first send. */
    double ratio = 0.05;
    /** Maximum number of saved tokens, so that an hour of low load can't pay for a retry storm. */
    double maxTokens = 10;
    double tokens = 10;
};

/** Adds the tokens of a first send. */
void deposit(RetryBudget &budget);

/** Takes the token for a second send. @return false, without a change, when less than one token is left */
bool withdraw(RetryBudget &budget);

} // namespace bergamotweir::agent
