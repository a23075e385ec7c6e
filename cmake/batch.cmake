# Targets of this area.
