25.754s edge-hall-clyde-3 control taken
27.483s edge-hall-clyde-2 configuration in force
27.705s edge-hall-clyde-3 groups
28.719s edge-hall-clyde-2 store lost
29.309s edge-hall-clyde-2 request sent
30.416s edge-hall-forth-2 instance held for lost
30.416s edge-hall-leith-2 instance held for lost
30.417s edge-hall-leith-4 instance held for lost
30.417s edge-hall-clyde-3 instance held for lost
30.418s edge-hall-clyde-2 instance held for lost
30.419s edge-hall-clyde-2 try broke
30.419s edge-hall-clyde-2 request sent
33.465s edge-hall-leith-2 instance held for lost
33.467s edge-hall-clyde-2 try broke
33.467s edge-hall-clyde-2 stream broken off
33.467s edge-hall-clyde-2 request ended
its stream was broken off at edge-hall-clyde-2 after 52 events: the try at dale95fb53~2097155 broke (a member of the lane is lost); i-5e0d430c6c was held for lost by edge-hall-leith-2
