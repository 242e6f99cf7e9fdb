#pragma once

namespace bergamotweir::rpc {

/**
 * Makes gRPC run its background tasks and timers on one thread; by default it starts one for each core of the machine,
 * which a small share of a VM doesn't have. Must be called before gRPC is used; later calls do nothing.
 */
void limitGrpcThreads();

} // namespace bergamotweir::rpc
