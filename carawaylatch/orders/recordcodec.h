// Conversion between records and their protobuf messages; internal to this folder.
#pragma once

#include "carawaylatch/orders/orderrecord.h"
#include "carawaylatch/orders/orderrecord.pb.h"

namespace carawaylatch::orders
{

[[nodiscard]] wire::OrderRecord toWire(const OrderRecord &record);
// Fails with InvalidArgument for a state that this version doesn't know.
[[nodiscard]] base::Result<OrderRecord> fromWire(const wire::OrderRecord &message);

} // namespace carawaylatch::orders
