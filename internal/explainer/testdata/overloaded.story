25.754s edge-hall-clyde-3 control taken
27.06s edge-hall-clyde-1 configuration in force
28.912s edge-hall-clyde-1 store lost
28.98s edge-hall-clyde-1 request refused
refused 503 at edge-hall-clyde-1 (overloaded, not run): too many requests waited to be started in time; its configuration was 1.916s old
