// Conversion between records and their generated protobuf form; for the .cpp
// files of this folder only.
#pragma once

#include "carawaylatch/orders/orderrecord.h"
#include "carawaylatch/orders/orderrecord.pb.h"

namespace carawaylatch::orders
{

[[nodiscard]] wire::OrderRecord toWire(const OrderRecord &record);
// Returns InvalidArgument for a state this version doesn't know.
[[nodiscard]] base::Result<OrderRecord> fromWire(const wire::OrderRecord &message);

} // namespace carawaylatch::orders
