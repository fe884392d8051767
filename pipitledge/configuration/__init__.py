"""The operators' configuration: its model, validation, replicated storage and delivery to data plane nodes."""
